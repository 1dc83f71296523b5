#include "policy/LowLatencyQuantile.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

constexpr double Quantile = 0.1;
/// Maximum change by one run, as a share of the estimate.
constexpr double MaxStep = 0.05;
constexpr double MinSeconds = 1e-6;

} // namespace

void LowLatencyQuantile::observe(absl::Duration Latency) {
  double Seconds = std::max(absl::ToDoubleSeconds(Latency), MinSeconds);
  if (m_Seconds == 0) {
    m_Seconds = Seconds;
    return;
  }
  m_Seconds *= Seconds < m_Seconds ? 1 - MaxStep * (1 - Quantile)
                                   : 1 + MaxStep * Quantile;
}

absl::Duration LowLatencyQuantile::estimate() const {
  return absl::Seconds(m_Seconds);
}

} // namespace knapweedloft::policy
