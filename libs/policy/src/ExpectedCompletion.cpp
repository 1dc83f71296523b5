#include "ExpectedCompletion.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace knapweedloft::policy {
namespace {

/// \returns the mean of what a normal variable exceeds 0 by.
double meanExcess(double Mean, double Deviation) {
  double Scaled = Mean / Deviation;
  double Density =
      std::exp(-Scaled * Scaled / 2) / std::sqrt(2 * std::numbers::pi);
  double Share = std::erfc(-Scaled / std::numbers::sqrt2) / 2;
  return std::max(0.0, Deviation * Density + Mean * Share);
}

} // namespace

ExpectedCompletion::ExpectedCompletion(const TargetFeedback &Load,
                                       double Requests, double PaceWeight,
                                       absl::Duration Age) {
  double Pace = 1 + (Load.m_Pace - 1) * std::clamp(PaceWeight, 0.0, 1.0);
  m_Work = Load.m_Latency * Pace;
  double Slots = std::max(1.0, static_cast<double>(Load.m_Limit));
  double Excess = Requests + 1 - Slots;
  m_HasFreeSlot = Excess <= 0;
  // Arrivals and ends since the report: each of the requests that ran may have
  // ended, and as many may have come.
  double Turned = std::min(1.0, absl::FDivDuration(Age, m_Work));
  double Deviation = std::sqrt(1 + 2 * Requests * Turned);
  m_Wait = m_Work * (meanExcess(Excess, Deviation) / Slots);
}

} // namespace knapweedloft::policy
