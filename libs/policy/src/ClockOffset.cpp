#include "policy/ClockOffset.h"

#include <algorithm>

namespace knapweedloft::policy {

void ClockOffset::onSample(absl::Time SentAt, absl::Time Now) {
  absl::Duration Difference = Now - SentAt;
  if (m_IsKnown && Difference > minDifferenceAt(Now))
    return;
  m_IsKnown = true;
  m_MinDifference = Difference;
  m_MinDifferenceAt = Now;
}

absl::Time ClockOffset::peerNow(absl::Time Now) const {
  return m_IsKnown ? Now - minDifferenceAt(Now) : absl::InfiniteFuture();
}

absl::Duration ClockOffset::delayOf(absl::Time SentAt, absl::Time Now) const {
  if (!m_IsKnown)
    return absl::ZeroDuration();
  return std::max(Now - SentAt - minDifferenceAt(Now), absl::ZeroDuration());
}

absl::Duration ClockOffset::minDifferenceAt(absl::Time Now) const {
  return m_MinDifference +
         std::max(Now - m_MinDifferenceAt, absl::ZeroDuration()) * m_DriftRatio;
}

} // namespace knapweedloft::policy
