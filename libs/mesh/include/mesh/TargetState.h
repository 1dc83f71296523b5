#ifndef KNAPWEEDLOFT_MESH_TARGETSTATE_H
#define KNAPWEEDLOFT_MESH_TARGETSTATE_H

#include "mesh/TargetReport.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::mesh {

/// Why the target beside a daemon gets requests or none.
enum class TargetGate : std::uint8_t {
  Open,
  Unknown,   ///< Nothing has been heard of it, or not since a restart.
  Leaving,   ///< It has said that it leaves, and that was acknowledged.
  Down,      ///< It does not accept connections.
  Withdrawn, ///< An operator withdrew its data centre.
  Stopping   ///< The daemon stops.
};

inline constexpr model::NameTable<TargetGate, 6> TargetGateNames{
    {"open", "unknown", "leaving", "down", "withdrawn", "stopping"}};

/// What one daemon believes of the target beside it, from the target's
/// reports, its answers and the operator's word.
///
/// Reports come late, out of order and from former lives of the target, or from
/// others: the time of birth orders lives, the sequence the reports of one
/// life. Once a target has said that it leaves, only a later life opens it
/// again. Not thread-safe.
class TargetState {
public:
  struct Options {
    std::string m_Service;
    model::Endpoint m_At;
    /// A report alone does not open a target that ran before this process
    /// did: a former process may have acknowledged that it leaves.
    bool m_NeedsCheck = false;
  };

  enum class Reception : std::uint8_t { Taken, Outdated, Foreign };

  explicit TargetState(Options Settings)
      : m_Settings(std::move(Settings)), m_NeedsCheck(m_Settings.m_NeedsCheck) {
  }

  Reception onReport(const TargetReport &Report, absl::Time Now);
  /// A health check was answered by \p Instance.
  void onCheck(const std::string &Instance, bool IsHealthy, absl::Time Now);
  /// An answer came from \p Instance instead of the one that was meant.
  void onOtherInstance(const std::string &Instance);
  /// A connection was refused.
  void onRefusedConnection();
  void setWithdrawn(bool IsWithdrawn);
  void setStopping() { m_IsStopping = true; }

  [[nodiscard]] TargetGate gate() const;
  [[nodiscard]] bool isOpen() const { return gate() == TargetGate::Open; }
  /// \returns whether a health check would tell something that is needed.
  [[nodiscard]] bool wantsCheck() const;
  [[nodiscard]] const std::string &instance() const { return m_Instance; }
  [[nodiscard]] std::uint64_t sequence() const { return m_Sequence; }
  [[nodiscard]] std::int64_t bornMs() const { return m_BornMs; }

private:
  [[nodiscard]] bool isOutdated(const TargetReport &Report) const;

  Options m_Settings;
  bool m_NeedsCheck;
  std::string m_Instance; ///< Empty: unknown.
  std::int64_t m_BornMs = 0;
  std::uint64_t m_Sequence = 0;
  bool m_IsLeaving = false;
  bool m_IsDown = false;
  bool m_IsWithdrawn = false;
  bool m_IsStopping = false;
  bool m_HasCheckFailed = false;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETSTATE_H
