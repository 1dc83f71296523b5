#include "policy/ClockOffset.h"

#include <algorithm>

namespace knapweedloft::policy {

void ClockOffset::onSample(absl::Time SentAt, absl::Time Now) {
  absl::Duration Difference = Now - SentAt;
  if (m_IsKnown && Difference > leastAt(Now))
    return;
  m_IsKnown = true;
  m_Least = Difference;
  m_LeastAt = Now;
}

absl::Time ClockOffset::peerNow(absl::Time Now) const {
  return m_IsKnown ? Now - leastAt(Now) : absl::InfiniteFuture();
}

absl::Duration ClockOffset::delayOf(absl::Time SentAt, absl::Time Now) const {
  if (!m_IsKnown)
    return absl::ZeroDuration();
  return std::max(Now - SentAt - leastAt(Now), absl::ZeroDuration());
}

absl::Duration ClockOffset::leastAt(absl::Time Now) const {
  return m_Least +
         std::max(Now - m_LeastAt, absl::ZeroDuration()) * m_DriftRatio;
}

} // namespace knapweedloft::policy
