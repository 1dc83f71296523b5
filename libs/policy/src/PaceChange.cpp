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
/// Until the variance has been measured: that of a factor of one and a half.
constexpr double InitialVariance = 0.16;
/// Weight of the initial variance, as seconds of measurement.
constexpr double InitialVarianceSeconds = 2;

} // namespace

void PaceChange::onValue(double LogPace, absl::Time Now) {
  if (m_LastAt == absl::InfinitePast()) {
    m_LastAt = Now;
    m_Last = LogPace;
    return;
  }
  double Seconds = std::max(0.0, absl::ToDoubleSeconds(Now - m_LastAt));
  double Kept = std::exp(-Seconds / AveragingSeconds);
  // The former value has held until now.
  double Off = m_Last - m_Mean;
  m_Mean += (1 - Kept) * Off;
  m_SquaredOff = Kept * m_SquaredOff + Off * Off * Seconds;
  m_OffSeconds = Kept * m_OffSeconds + Seconds;
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
  double Variance = (m_SquaredOff + InitialVariance * InitialVarianceSeconds) /
                    (m_OffSeconds + InitialVarianceSeconds);
  double Changes = m_SquaredSteps / (2 * Variance);
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
