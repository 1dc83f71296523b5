#include "policy/RestartDetector.h"

namespace knapweedloft::policy {

bool RestartDetector::observe(RunOutcome Outcome, std::uint32_t Running) {
  if (Outcome == RunOutcome::Success) {
    m_Lost = 0;
    return false;
  }
  if (Outcome != RunOutcome::ConnectionLost)
    return false;
  ++m_Lost;
  return m_Lost == LostInRow || (m_Lost < LostInRow && Running == 0);
}

} // namespace knapweedloft::policy
