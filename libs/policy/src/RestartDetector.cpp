#include "policy/RestartDetector.h"

namespace knapweedloft::policy {

bool RestartDetector::observe(RunOutcome Outcome, std::uint32_t Running) {
  if (Outcome == RunOutcome::Success) {
    m_ConsecutiveLosses = 0;
    return false;
  }
  if (Outcome != RunOutcome::ConnectionLost)
    return false;
  ++m_ConsecutiveLosses;
  return m_ConsecutiveLosses == LossThreshold ||
         (m_ConsecutiveLosses < LossThreshold && Running == 0);
}

} // namespace knapweedloft::policy
