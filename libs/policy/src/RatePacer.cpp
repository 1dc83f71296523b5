#include "policy/RatePacer.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Starts are checked every 20 ms; a batch keeps the rate reachable.
constexpr double BatchSeconds = 0.25;

} // namespace

std::size_t RatePacer::batch() const {
  return static_cast<std::size_t>(
      std::max(1.0, std::floor(m_PerSecond * BatchSeconds)));
}

void RatePacer::trim() {
  while (m_Starts.size() > batch())
    m_Starts.pop_front();
}

void RatePacer::setRate(double PerSecond, absl::Time Now) {
  bool WasLimited = isLimited();
  m_PerSecond = PerSecond;
  if (!WasLimited)
    m_Starts.assign(batch(), Now);
  trim();
}

void RatePacer::clear() {
  m_PerSecond = 0;
  m_Starts.clear();
}

absl::Time RatePacer::nextStart(absl::Time Now) const {
  if (!isLimited() || m_Starts.size() < batch())
    return Now;
  absl::Duration BatchTime =
      absl::Seconds(static_cast<double>(batch()) / m_PerSecond);
  return std::max(Now, m_Starts.front() + BatchTime);
}

void RatePacer::onStart(absl::Time Now) {
  if (!isLimited())
    return;
  m_Starts.push_back(Now);
  trim();
}

} // namespace knapweedloft::policy
