#include "policy/FastLatency.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

constexpr double Quantile = 0.1;
/// Share of the estimate by which a run moves it at most.
constexpr double Step = 0.05;
constexpr double LeastSeconds = 1e-6;

} // namespace

void FastLatency::observe(absl::Duration Latency) {
  double Seconds = std::max(absl::ToDoubleSeconds(Latency), LeastSeconds);
  if (m_Seconds == 0) {
    m_Seconds = Seconds;
    return;
  }
  m_Seconds *=
      Seconds < m_Seconds ? 1 - Step * (1 - Quantile) : 1 + Step * Quantile;
}

absl::Duration FastLatency::estimate() const {
  return absl::Seconds(m_Seconds);
}

} // namespace knapweedloft::policy
