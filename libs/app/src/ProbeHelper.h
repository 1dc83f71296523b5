#ifndef KNAPWEEDLOFT_APP_PROBEHELPER_H
#define KNAPWEEDLOFT_APP_PROBEHELPER_H

#include "link/generated/link_generated.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// Finds out for other daemons whether a member can be reached from here.
class ProbeHelper {
public:
  struct Options {
    /// Something must have come within this for a member to count as reached.
    absl::Duration m_HeardWithin;
    absl::Duration m_HelpWithin;
    std::size_t m_MaxPending = 64;
  };

  struct Hooks {
    std::function<void(const std::string &To, link::wire::ProbeAnswerT Answer)>
        m_Answer;
    /// Opens a link to a member by name.
    std::function<void(const std::string &Name)> m_Connect;
  };

  ProbeHelper(const Options &Settings, Hooks Surroundings)
      : m_Settings(Settings), m_Hooks(std::move(Surroundings)) {}

  void onAsk(const std::string &From, const link::wire::ProbeAskT &Ask,
             absl::Time Now);
  /// Something came from \p Name.
  void onReceived(const std::string &Name, absl::Time Now);
  void onDown(const std::string &Name) { m_HeardAt.erase(Name); }
  /// Answers no for what was not reached in time.
  void tick(absl::Time Now);

private:
  struct Pending {
    std::string m_From;
    link::wire::ProbeAskT m_Ask;
    absl::Time m_Until;
  };

  void answer(const Pending &Done, bool IsAlive);

  Options m_Settings;
  Hooks m_Hooks;
  absl::flat_hash_map<std::string, absl::Time> m_HeardAt;
  std::vector<Pending> m_Pending;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_PROBEHELPER_H
