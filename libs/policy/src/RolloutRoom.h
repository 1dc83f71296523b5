#ifndef KNAPWEEDLOFT_POLICY_ROLLOUTROOM_H
#define KNAPWEEDLOFT_POLICY_ROLLOUTROOM_H

#include "policy/RolloutSample.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::policy {

/// Whether the targets of a new version have room for all requests that a
/// service runs, and whether the former ones are idle, as told by their newest
/// samples. Not thread-safe.
class RolloutRoom {
public:
  explicit RolloutRoom(std::string NewVersion)
      : m_NewVersion(std::move(NewVersion)) {}

  void onSample(const RolloutSample &Sample, absl::Time Now);
  void onDaemonLost(const std::string &Daemon);

  struct Question {
    absl::Time m_Now;
    absl::Time m_Since; ///< Older samples do not count.
    bool m_WithCold = false;
  };

  /// \returns whether the open targets of the new version can run all.
  [[nodiscard]] bool isEnough(const Question &Asked) const;
  [[nodiscard]] bool isFormerIdle(const Question &Asked) const;
  /// \returns whether any target of the new version is known.
  [[nodiscard]] bool hasTargets(const Question &Asked) const;

private:
  struct Target {
    bool m_IsNew = false;
    bool m_IsOpen = false;
    bool m_IsCold = false;
    double m_Slots = 0;
    std::uint32_t m_Running = 0;
    absl::Time m_HeardAt;
  };

  [[nodiscard]] static bool counts(const Target &Of, const Question &Asked);

  std::string m_NewVersion;
  absl::btree_map<std::string, Target> m_Targets; ///< By name of the daemon.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ROLLOUTROOM_H
