#include "policy/ConcurrencyLimit.h"

#include "policy/PolicyError.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Growth of the limit for each success in the ramp: half as much again in each
/// round trip.
constexpr double RampGrowth = 0.5;
/// The ramp ends once the latency is RampLatencyRatio times the minimum seen in
/// it and the rate of success has grown with an elasticity below
/// RampElasticity.
constexpr double RampLatencyRatio = 1.3;
constexpr double RampElasticity = 0.7;
/// Divided by the square root of the count and added to RampLatencyRatio.
constexpr double RampNoiseFactor = 1;
/// Minimum share of its concurrency that the ramp keeps when it ends.
constexpr double MinRampShare = 0.5;
/// A repeated ramp must raise the limit by MinUsefulGrowth, else the limit is
/// cut to UselessGrowthCut of its value before the ramp.
constexpr double MinUsefulGrowth = 1.2;
constexpr double UselessGrowthCut = 0.9;
/// Share of the limit that must be in use for a phase to be valid.
constexpr double UsedShare = 0.9;
/// A phase is valid if its mean concurrency is at most this many times its
/// limit at its start.
constexpr double SettledRatio = 1.1;
constexpr double RampSettledRatio = 1.6;
/// Elasticity of the rate of success at which the limit does not change.
constexpr double TargetElasticity = 0.1;
/// Rise of the logarithm of the limit for each unit of elasticity.
constexpr double RiseGain = 0.4;
/// Fall of the logarithm of the limit, as a share of the gap between the
/// phases, if the low phase lost no successes.
constexpr double FallGain = 0.3;
constexpr double MaxStep = 0.35;
/// Sum of the weighted errors of consecutive rises above which the limit grows
/// as in the ramp.
constexpr double RiseSumForRamp = 0.7;
/// Limits below this grow as in the ramp: phases of so few requests do not
/// differ enough to compare.
constexpr double MinComparedLimit = 4;
/// Consecutive falls each grow by this share of the first, up to a maximum.
constexpr double FallAcceleration = 1;
constexpr double MaxFallAcceleration = 5;
/// Elasticities beyond these bounds are noise.
constexpr double MinElasticity = -1.2;
constexpr double MaxElasticity = 1.5;
/// An elasticity this many standard deviations outside 0 to 1 shows that
/// conditions changed between the phases.
constexpr double OutlierNoise = 2;
/// Variance of an elasticity at which a step is taken at half size.
constexpr double HalfGainVariance = 0.15;
/// Assumed squared coefficient of variation of the time between successes.
constexpr double CountVariance = 0.5;
/// Share of overloaded runs in a phase above which the limit is cut.
constexpr double OverloadShare = 0.2;
constexpr double OverloadCut = 0.8;
constexpr double LatencySmoothing = 0.1;
/// Minimum number of successes in a phase, unless it times out.
constexpr double MinSuccesses = 32;
constexpr double MinRampSuccesses = 16;
/// Maximum length of a phase, in mean latencies.
constexpr double MaxPhaseLatencies = 6;
/// Below this limit the gap between the phases is wider, since counts are
/// small.
constexpr double SmallLimit = 64;
constexpr double SmallLimitGap = 0.2;
constexpr double LargeLimitGap = 0.1;
/// The gap widens while the low phase loses no successes, since a wider gap
/// gives a clearer comparison.
constexpr double MaxPhaseGap = 0.4;
constexpr double PhaseGapGrowth = 2;
/// Number of consecutive falls after which the gap widens.
constexpr int FallsToWidenGap = 3;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const Options &Settings, absl::Time Now)
    : m_Settings(Settings), m_HighLimit(Settings.m_Initial), m_LastUpdate(Now),
      m_MeasureFrom(Now) {
  if (Settings.m_Min < 1 || Settings.m_Initial < Settings.m_Min ||
      Settings.m_Max < Settings.m_Initial)
    throw PolicyError("concurrency limit requires 1 <= min <= initial <= max");
}

double ConcurrencyLimit::minPhaseGap() const {
  return m_HighLimit < SmallLimit ? SmallLimitGap : LargeLimitGap;
}

double ConcurrencyLimit::current() const {
  double Share = m_Phase == Phase::Low ? 1 - m_PhaseGap : 1;
  return std::max(std::floor(m_HighLimit * Share), m_Settings.m_Min);
}

absl::Duration ConcurrencyLimit::latency() const {
  return absl::Seconds(m_LatencySeconds);
}

void ConcurrencyLimit::integrate(std::uint32_t Running, absl::Time Now) {
  absl::Time From = std::max(m_LastUpdate, m_MeasureFrom);
  if (Now > From)
    m_RunningSeconds += absl::ToDoubleSeconds(Now - From) * m_Running;
  m_LastUpdate = std::max(m_LastUpdate, Now);
  m_Running = Running;
}

void ConcurrencyLimit::onStart(std::uint32_t Running, absl::Time Now) {
  integrate(Running, Now);
}

void ConcurrencyLimit::recordLatency(absl::Duration Latency) {
  double Seconds = std::max(absl::ToDoubleSeconds(Latency), 1e-6);
  if (m_LatencySeconds == 0)
    m_LatencySeconds = Seconds;
  m_LatencySeconds += LatencySmoothing * (Seconds - m_LatencySeconds);
}

void ConcurrencyLimit::onFinish(std::uint32_t Running, RunOutcome Outcome,
                                absl::Duration Latency, absl::Time Now) {
  integrate(Running, Now);
  if (Outcome == RunOutcome::Success || Outcome == RunOutcome::Timeout)
    recordLatency(Latency);
  if (Now < m_MeasureFrom)
    return;
  if (Outcome == RunOutcome::Success) {
    ++m_Successes;
    growRamp();
  }
  if (Outcome == RunOutcome::Timeout || Outcome == RunOutcome::Shed)
    ++m_Overloads;
  if (isMeasured(Now))
    endPhase(Now);
}

bool ConcurrencyLimit::isMeasured(absl::Time Now) const {
  double Seconds = absl::ToDoubleSeconds(Now - m_MeasureFrom);
  if (Seconds < m_LatencySeconds)
    return false;
  double Enough = m_IsGrowing ? std::max(MinRampSuccesses, m_HighLimit)
                              : std::max(MinSuccesses, m_HighLimit / 2);
  return m_Successes + m_Overloads >= Enough ||
         Seconds > MaxPhaseLatencies * m_LatencySeconds;
}

void ConcurrencyLimit::growRamp() {
  if (m_IsGrowing && m_Running + 1 >= UsedShare * current())
    m_HighLimit = std::min(m_HighLimit + RampGrowth, m_Settings.m_Max);
}

void ConcurrencyLimit::checkRamp(const Sample &Latest) {
  Sample Previous = m_Previous;
  m_Previous = Latest;
  if (Latest.m_Count < 1)
    return;
  double Latency = Latest.m_Concurrency / Latest.m_Rate;
  if (m_BestRampLatency == 0 || Latency < m_BestRampLatency)
    m_BestRampLatency = Latency;
  double Noise = RampNoiseFactor / std::sqrt(Latest.m_Count);
  bool IsSlower = Latency >= (RampLatencyRatio + Noise) * m_BestRampLatency;
  bool IsFlat =
      Previous.m_Count >= 1 && Latest.m_Rate < minRampRate(Previous, Latest);
  if (!IsSlower || !IsFlat)
    return;
  double Knee = Latest.m_Rate * m_BestRampLatency;
  m_HighLimit = std::max(m_IsCold ? coldLimit(Knee, Latest) : grownLimit(Knee),
                         m_Settings.m_Min);
  m_IsGrowing = m_IsCold = false;
  m_Previous = {};
}

double ConcurrencyLimit::coldLimit(double Knee, const Sample &Latest) {
  return std::max(Knee, MinRampShare * Latest.m_Concurrency);
}

double ConcurrencyLimit::grownLimit(double Knee) const {
  // Growth that gained little was noise; the limit may have been too high.
  return Knee > MinUsefulGrowth * m_RampFrom ? Knee
                                             : UselessGrowthCut * m_RampFrom;
}

double ConcurrencyLimit::minRampRate(const Sample &Previous,
                                     const Sample &Latest) {
  double Growth = Latest.m_Concurrency / Previous.m_Concurrency;
  return Previous.m_Rate * std::pow(Growth, RampElasticity);
}

void ConcurrencyLimit::startPhase(Phase Next, absl::Time Now) {
  m_Phase = Next;
  m_PhaseLimit = current();
  // Waits for the requests of the previous phase to end.
  double Settle = m_IsGrowing ? 0 : m_LatencySeconds;
  m_MeasureFrom = Now + absl::Seconds(Settle);
  m_RunningSeconds = 0;
  m_Successes = 0;
  m_Overloads = 0;
}

void ConcurrencyLimit::endPhase(absl::Time Now) {
  double Seconds = absl::ToDoubleSeconds(Now - m_MeasureFrom);
  Sample Latest{m_RunningSeconds / Seconds, m_Successes / Seconds,
                static_cast<double>(m_Successes)};
  bool IsUsed = Latest.m_Concurrency >= UsedShare * m_PhaseLimit - 1;
  double MaxConcurrency =
      (m_IsGrowing ? RampSettledRatio : SettledRatio) * (m_PhaseLimit + 1);
  bool IsSettled = Latest.m_Concurrency <= MaxConcurrency;
  reduceOnOverload();
  if (!IsSettled) {
    // Requests started before the limit was cut are still running.
    m_Previous = {};
    clearComparisons();
    startPhase(Phase::High, Now);
    return;
  }
  // Phases of so few requests do not differ enough to compare.
  if (!m_IsGrowing && m_HighLimit < MinComparedLimit)
    startRamp();
  if (m_IsGrowing) {
    // With the limit not in use, a change of latency says nothing about the
    // number of slots.
    if (IsUsed)
      checkRamp(Latest);
    else
      m_Previous = {};
    startPhase(Phase::High, Now);
    return;
  }
  if (!IsUsed) {
    m_Previous = {};
    clearComparisons();
    startPhase(Phase::High, Now);
    return;
  }
  comparePhases(Latest);
  m_Previous = Latest;
  startPhase(m_Phase == Phase::High ? Phase::Low : Phase::High, Now);
}

void ConcurrencyLimit::reduceOnOverload() {
  double Runs = m_Successes + m_Overloads;
  if (m_Overloads <= OverloadShare * Runs)
    return;
  m_IsGrowing = m_IsCold = false;
  m_HighLimit = std::max(m_HighLimit * OverloadCut, m_Settings.m_Min);
}

void ConcurrencyLimit::comparePhases(const Sample &Latest) {
  if (m_Previous.m_Count < 1 || Latest.m_Count < 1)
    return;
  double LogRatio = std::log(Latest.m_Concurrency / m_Previous.m_Concurrency);
  if (std::abs(LogRatio) < 0.02)
    return;
  double Elasticity = std::log(Latest.m_Rate / m_Previous.m_Rate) / LogRatio;
  double Variance = CountVariance *
                    (1 / Latest.m_Count + 1 / m_Previous.m_Count) /
                    (LogRatio * LogRatio);
  double Noise = std::sqrt(Variance);
  if (std::abs(Elasticity - 0.5) > 0.5 + OutlierNoise * Noise) {
    clearComparisons();
    return;
  }
  m_ElasticitySum += std::clamp(Elasticity, MinElasticity, MaxElasticity);
  m_GainSum += 1 / (1 + Variance / HalfGainVariance);
  // Averages one rise and one fall, so that drift over time cancels out.
  if (++m_Comparisons < 2)
    return;
  step(m_ElasticitySum / 2, m_GainSum / 2);
  m_Comparisons = 0;
  m_ElasticitySum = m_GainSum = 0;
}

void ConcurrencyLimit::step(double Elasticity, double Gain) {
  double Error = Elasticity - TargetElasticity;
  if (Error > 0)
    rise(Error, Gain);
  else
    fall(Error, Gain);
}

void ConcurrencyLimit::rise(double Error, double Gain) {
  m_ConsecutiveFalls = 0;
  m_RiseSum += Gain * Error;
  m_PhaseGap = minPhaseGap();
  if (m_RiseSum > RiseSumForRamp) {
    startRamp();
    return;
  }
  scale(Gain * RiseGain * Error);
}

void ConcurrencyLimit::fall(double Error, double Gain) {
  m_RiseSum = 0;
  ++m_ConsecutiveFalls;
  double LogRatio = -std::log(1 - m_PhaseGap);
  double Share = std::max(Error / TargetElasticity, -1.0);
  double Acceleration = std::min(1.0 + m_ConsecutiveFalls * FallAcceleration,
                                 MaxFallAcceleration);
  scale(Gain * (RiseGain * Error + Acceleration * FallGain * LogRatio * Share));
  if (m_ConsecutiveFalls >= FallsToWidenGap)
    m_PhaseGap = std::min(m_PhaseGap * PhaseGapGrowth, MaxPhaseGap);
}

void ConcurrencyLimit::scale(double Change) {
  double Factor = std::exp(std::clamp(Change, -MaxStep, MaxStep));
  m_HighLimit =
      std::clamp(m_HighLimit * Factor, m_Settings.m_Min, m_Settings.m_Max);
}

void ConcurrencyLimit::startRamp() {
  m_IsGrowing = true;
  m_RampFrom = m_HighLimit;
  m_BestRampLatency = 0;
  m_Previous = {};
  clearComparisons();
}

void ConcurrencyLimit::clearComparisons() {
  m_Comparisons = 0;
  m_ElasticitySum = m_GainSum = 0;
  m_ConsecutiveFalls = 0;
  m_RiseSum = 0;
  m_PhaseGap = minPhaseGap();
}

void ConcurrencyLimit::restart(absl::Time Now) {
  integrate(m_Running, Now);
  m_HighLimit = m_Settings.m_Initial;
  m_IsCold = true;
  startRamp();
  startPhase(Phase::High, Now);
}

} // namespace knapweedloft::policy
