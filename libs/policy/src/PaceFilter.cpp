#include "policy/PaceFilter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace knapweedloft::policy {
namespace {

/// A figure that changes many times a second does not stand still for longer
/// while the target is healthy.
constexpr absl::Duration FrozenAfter = absl::Seconds(10);
/// A report is taken to hold for this many mean half lives when runs are
/// compared with it.
constexpr double HeldHalfLives = 4;
/// Weight of a run in the averages that reports are compared with.
constexpr double RunSmoothing = 0.02;
/// Runs over which the confirmation is measured.
constexpr double EvidenceRuns = 400;
/// Weight of the target's word until runs say otherwise: about that of 20 runs
/// whose paces differ by a half.
constexpr double PriorEvidence = 20 * 0.16;
/// Below this share a figure counts as contradicted.
constexpr double ContradictedShare = 0.1;
/// A mean latency, before the first run.
constexpr double NoLatency = std::numeric_limits<double>::quiet_NaN();
/// Shortest run, against a logarithm of 0.
constexpr double MinSeconds = 1e-6;

} // namespace

void PaceFilter::onReport(double Percent, absl::Time Now) {
  double Reported = std::log(Percent / 100);
  m_Clock = clock(Now);
  bool IsFirst = m_ReportedAt == absl::InfinitePast();
  if (IsFirst || Reported != m_Reported) {
    m_HasChanged = !IsFirst;
    m_ChangedAt = Now;
  }
  m_Reported = Reported;
  m_ReportedAt = Now;
  m_Change.onValue(Reported, Now);
}

double PaceFilter::logDeviation() const { return m_Reported - m_Change.mean(); }

absl::Duration PaceFilter::clock(absl::Time Now) const {
  if (m_ReportedAt == absl::InfinitePast())
    return Now - absl::UnixEpoch();
  absl::Duration Since = std::max(Now - m_ReportedAt, absl::ZeroDuration());
  absl::Duration Held = std::min(Since, HeldHalfLives * m_Change.halfLife());
  return m_Clock + Held * std::exp(-logDeviation()) + (Since - Held);
}

absl::Duration PaceFilter::onRun(std::uint32_t Class, absl::Duration Latency,
                                 absl::Duration Start, absl::Time Now) {
  if (m_ReportedAt == absl::InfinitePast())
    return Latency;
  double Seconds = std::max(absl::ToDoubleSeconds(Latency), MinSeconds);
  double Usual =
      std::max(absl::ToDoubleSeconds(clock(Now) - Start), MinSeconds);
  double LogPace = std::log(Seconds / Usual);
  if (Class >= m_MeanLogLatency.size())
    m_MeanLogLatency.resize(Class + 1, NoLatency);
  double &Mean = m_MeanLogLatency[Class];
  double LogLatency = std::log(Seconds);
  if (std::isnan(Mean))
    Mean = LogLatency;
  double PaceOff = LogPace - m_MeanLogPace;
  double LatencyOff = LogLatency - Mean;
  constexpr double Kept = 1 - 1 / EvidenceRuns;
  m_PaceVariance = Kept * m_PaceVariance + PaceOff * PaceOff;
  m_PaceCovariance = Kept * m_PaceCovariance + PaceOff * LatencyOff;
  m_MeanLogPace += RunSmoothing * PaceOff;
  Mean += RunSmoothing * LatencyOff;
  return Latency * std::exp(-confirmedShare() * LogPace);
}

double PaceFilter::confirmedShare() const {
  double Slope =
      (m_PaceCovariance + PriorEvidence) / (m_PaceVariance + PriorEvidence);
  return std::clamp(Slope, 0.0, 1.0);
}

bool PaceFilter::isFrozen(absl::Time Now) const {
  return m_HasChanged && Now - m_ChangedAt > FrozenAfter;
}

double PaceFilter::pace(absl::Duration Ahead, absl::Time Now) const {
  if (trust(Now) != Trust::Used)
    return 1;
  return std::exp(confirmedShare() * m_Change.weight(age(Now) + Ahead) *
                  logDeviation());
}

PaceFilter::Trust PaceFilter::trust(absl::Time Now) const {
  if (m_ReportedAt == absl::InfinitePast())
    return Trust::Unnamed;
  if (isFrozen(Now))
    return Trust::Frozen;
  return confirmedShare() < ContradictedShare ? Trust::Contradicted
                                              : Trust::Used;
}

} // namespace knapweedloft::policy
