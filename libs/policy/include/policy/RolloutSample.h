#ifndef KNAPWEEDLOFT_POLICY_ROLLOUTSAMPLE_H
#define KNAPWEEDLOFT_POLICY_ROLLOUTSAMPLE_H

#include "policy/RouteCounts.h"

#include "model/Member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// One target of a service with a roll-out, as the daemon beside it last
/// reported it. Counts begin with the life of that daemon.
struct RolloutSample {
  std::string m_Daemon; ///< Name of the daemon beside the target.
  model::Incarnation m_Incarnation = 0; ///< Of that daemon.
  std::string m_Instance;               ///< Of the target.
  std::string m_Version;                ///< Empty: unknown.
  bool m_IsOpen = false; ///< Takes requests, but for the roll-out's own limits.
  bool m_IsCold = false;
  double m_Slots = 0; ///< Requests that the target may run at once.
  std::uint32_t m_Running = 0;
  /// Requests that were given to the target since the order: what its
  /// RolloutGate accepted.
  std::uint64_t m_Arrivals = 0;
  /// Requests that have run for several times their route's usual latency.
  std::uint32_t m_Overdue = 0;
  std::vector<RouteCounts> m_Routes;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ROLLOUTSAMPLE_H
