#ifndef KNAPWEEDLOFT_POLICY_RESTARTDETECTOR_H
#define KNAPWEEDLOFT_POLICY_RESTARTDETECTOR_H

#include "policy/RunOutcome.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Detects the restart of a target from lost connections: all that were in use,
/// or several without a success in between. Not thread-safe.
class RestartDetector {
public:
  /// Consecutive lost connections that indicate a restart.
  static constexpr std::uint32_t LossThreshold = 3;

  /// Reports the end of a run; \p Running requests are still running.
  /// \returns whether the target has restarted; true once per restart.
  [[nodiscard]] bool observe(RunOutcome Outcome, std::uint32_t Running);

private:
  std::uint32_t m_ConsecutiveLosses = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RESTARTDETECTOR_H
