#include "policy/PaceChange.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Time over which mean, variance and rate of change are averaged.
constexpr double AveragingSeconds = 10;
/// Until changes have been measured: targets say that they change many times a
/// second.
constexpr double InitialLifeSeconds = 0.2;
/// Weight of the initial value, as seconds of measurement.
constexpr double InitialSeconds = 0.5;
constexpr double MinLifeSeconds = 0.01;
/// Values further apart say nothing about the rate of change.
constexpr double MaxStepSeconds = 1;
/// Smaller changes of the logarithm make no difference to a choice.
constexpr double MinVariance = 0.0001;

} // namespace

void PaceChange::onValue(double LogPace, absl::Time Now) {
  if (m_LastAt == absl::InfinitePast()) {
    m_LastAt = Now;
    m_Last = LogPace;
    return;
  }
  double Seconds = std::max(0.0, absl::ToDoubleSeconds(Now - m_LastAt));
  double Kept = std::exp(-Seconds / AveragingSeconds);
  double Off = LogPace - m_Mean;
  m_Mean += (1 - Kept) * Off;
  m_Variance = Kept * (m_Variance + (1 - Kept) * Off * Off);
  m_SquaredSteps *= Kept;
  m_StepSeconds *= Kept;
  if (Seconds <= MaxStepSeconds) {
    m_SquaredSteps += (LogPace - m_Last) * (LogPace - m_Last);
    m_StepSeconds += Seconds;
  }
  m_Last = LogPace;
  m_LastAt = Now;
}

absl::Duration PaceChange::meanLife() const {
  double Changes = m_SquaredSteps / (2 * std::max(m_Variance, MinVariance));
  Changes += InitialSeconds / InitialLifeSeconds;
  double Seconds = (m_StepSeconds + InitialSeconds) / Changes;
  return absl::Seconds(std::max(Seconds, MinLifeSeconds));
}

absl::Duration PaceChange::halfLife() const {
  return std::log(2.0) * meanLife();
}

double PaceChange::weight(absl::Duration Age) const {
  return std::exp(
      -absl::FDivDuration(std::max(Age, absl::ZeroDuration()), meanLife()));
}

} // namespace knapweedloft::policy
