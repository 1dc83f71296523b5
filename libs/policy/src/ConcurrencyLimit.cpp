#include "policy/ConcurrencyLimit.h"

#include "policy/PolicyError.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Growth for each success of the ramp: half as much again in each round trip.
constexpr double RampGrowth = 0.5;
/// The ramp ends where the latency is this many times the least seen in it and
/// the rate of success has grown with less than this elasticity.
constexpr double RampLatencyRatio = 1.3;
constexpr double RampElasticity = 0.7;
/// Added to it, divided by the root of the count.
constexpr double RampNoise = 1;
/// Share of its concurrency that the ramp keeps at least when it ends.
constexpr double MaxRampOvershoot = 0.5;
/// A ramp that starts again must raise the limit by this factor, else the limit
/// is cut to a share of what it was.
constexpr double GrowthThatPays = 1.2;
constexpr double GrowthInVain = 0.9;
/// Share of the limit that must be in use for a phase to count.
constexpr double UsedShare = 0.9;
/// A phase counts if no more ran than this many times its limit at its start.
constexpr double PhaseSettled = 1.1;
constexpr double RampSettled = 1.6;
/// Elasticity of the rate of success at which the limit stays.
constexpr double TargetElasticity = 0.1;
/// Rise of the logarithm of the limit for each unit of elasticity.
constexpr double RiseGain = 0.4;
/// Fall of it as a share of the distance between the phases, if the low phase
/// lost nothing.
constexpr double FallGain = 0.3;
constexpr double MaxStep = 0.35;
/// Sum of the damped errors of rises in a row from which the limit grows as in
/// the ramp.
constexpr double RampEvidence = 0.7;
/// Limits below grow as in the ramp.
constexpr double LeastCompared = 4;
/// Falls in a row grow by this share of the first, up to a bound.
constexpr double HasteGrowth = 1;
constexpr double MaxHaste = 5;
/// Elasticities beyond are noise.
constexpr double MinElasticity = -1.2;
constexpr double MaxElasticity = 1.5;
/// Elasticities so many standard deviations beyond 0 to 1 show that conditions
/// changed between the phases.
constexpr double OutlierNoise = 2;
/// Variance of an elasticity at which a step is taken at half size.
constexpr double HalfGainVariance = 0.15;
/// Squared coefficient of variation assumed of the time between successes.
constexpr double CountVariance = 0.5;
/// Share of runs with overload in a phase above which the limit is cut.
constexpr double OverloadShare = 0.2;
constexpr double OverloadCut = 0.8;
constexpr double LatencySmoothing = 0.1;
/// Successes for which a phase waits at least.
constexpr double MinSuccesses = 32;
constexpr double MinRampSuccesses = 16;
/// Phases end at last after so many latencies.
constexpr double MaxPhaseLatencies = 6;
/// Below this limit the phases lie further apart, since counts are few.
constexpr double SmallLimit = 64;
constexpr double SmallDepth = 0.2;
constexpr double LargeDepth = 0.1;
/// The low phase goes deeper while it loses nothing, since that shows more.
constexpr double MaxDepth = 0.4;
constexpr double DepthGrowth = 2;
/// Falls in a row from which it goes deeper.
constexpr int DepthFalls = 3;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const Options &Settings, absl::Time Now)
    : m_Settings(Settings), m_High(Settings.m_Initial), m_Updated(Now),
      m_MeasureFrom(Now) {
  if (Settings.m_Min < 1 || Settings.m_Initial < Settings.m_Min ||
      Settings.m_Max < Settings.m_Initial)
    throw PolicyError("a limit needs 1 <= min <= initial <= max");
}

double ConcurrencyLimit::leastDepth() const {
  return m_High < SmallLimit ? SmallDepth : LargeDepth;
}

double ConcurrencyLimit::current() const {
  double Share = m_Phase == Phase::Low ? 1 - m_Depth : 1;
  return std::max(std::floor(m_High * Share), m_Settings.m_Min);
}

absl::Duration ConcurrencyLimit::latency() const {
  return absl::Seconds(m_LatencySeconds);
}

void ConcurrencyLimit::integrate(std::uint32_t Running, absl::Time Now) {
  absl::Time From = std::max(m_Updated, m_MeasureFrom);
  if (Now > From)
    m_RunningSeconds += absl::ToDoubleSeconds(Now - From) * m_Running;
  m_Updated = std::max(m_Updated, Now);
  m_Running = Running;
}

void ConcurrencyLimit::onStart(std::uint32_t Running, absl::Time Now) {
  integrate(Running, Now);
}

void ConcurrencyLimit::noteLatency(absl::Duration Latency) {
  double Seconds = std::max(absl::ToDoubleSeconds(Latency), 1e-6);
  if (m_LatencySeconds == 0)
    m_LatencySeconds = Seconds;
  m_LatencySeconds += LatencySmoothing * (Seconds - m_LatencySeconds);
}

void ConcurrencyLimit::onFinish(std::uint32_t Running, RunOutcome Outcome,
                                absl::Duration Latency, absl::Time Now) {
  integrate(Running, Now);
  if (Outcome == RunOutcome::Success || Outcome == RunOutcome::Timeout)
    noteLatency(Latency);
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
  double Enough = m_IsGrowing ? std::max(MinRampSuccesses, m_High)
                              : std::max(MinSuccesses, m_High / 2);
  return m_Successes + m_Overloads >= Enough ||
         Seconds > MaxPhaseLatencies * m_LatencySeconds;
}

void ConcurrencyLimit::growRamp() {
  if (m_IsGrowing && m_Running + 1 >= UsedShare * current())
    m_High = std::min(m_High + RampGrowth, m_Settings.m_Max);
}

void ConcurrencyLimit::checkRamp(const Sample &Latest) {
  Sample Before = m_Previous;
  m_Previous = Latest;
  if (Latest.m_Count < 1)
    return;
  double Latency = Latest.m_Concurrency / Latest.m_Rate;
  if (m_BestRampLatency == 0 || Latency < m_BestRampLatency)
    m_BestRampLatency = Latency;
  double Noise = RampNoise / std::sqrt(Latest.m_Count);
  bool IsSlower = Latency >= (RampLatencyRatio + Noise) * m_BestRampLatency;
  bool IsFlat = Before.m_Count >= 1 && Latest.m_Rate < flatRate(Before, Latest);
  if (!IsSlower || !IsFlat)
    return;
  double Knee = Latest.m_Rate * m_BestRampLatency;
  m_High = std::max(m_IsCold ? coldLimit(Knee, Latest) : grownLimit(Knee),
                    m_Settings.m_Min);
  m_IsGrowing = m_IsCold = false;
  m_Previous = {};
}

double ConcurrencyLimit::coldLimit(double Knee, const Sample &Latest) {
  return std::max(Knee, MaxRampOvershoot * Latest.m_Concurrency);
}

double ConcurrencyLimit::grownLimit(double Knee) const {
  // Growth that paid little was noise; the limit may well have been too high.
  return Knee > GrowthThatPays * m_RampFrom ? Knee : GrowthInVain * m_RampFrom;
}

double ConcurrencyLimit::flatRate(const Sample &Before, const Sample &Latest) {
  double Growth = Latest.m_Concurrency / Before.m_Concurrency;
  return Before.m_Rate * std::pow(Growth, RampElasticity);
}

void ConcurrencyLimit::startPhase(Phase Next, absl::Time Now) {
  m_Phase = Next;
  m_PhaseLimit = current();
  // The requests of the phase before are given time to end.
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
  double MostSettled =
      (m_IsGrowing ? RampSettled : PhaseSettled) * (m_PhaseLimit + 1);
  bool IsSettled = Latest.m_Concurrency <= MostSettled;
  reduceOnOverload();
  if (!IsSettled) {
    // Requests from before the limit was cut still run.
    m_Previous = {};
    clearComparisons();
    startPhase(Phase::High, Now);
    return;
  }
  // Phases of so few requests do not differ enough to compare.
  if (!m_IsGrowing && m_High < LeastCompared)
    startRamp();
  if (m_IsGrowing) {
    // Below the limit a change of latency says nothing about the slots.
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
  m_High = std::max(m_High * OverloadCut, m_Settings.m_Min);
}

void ConcurrencyLimit::comparePhases(const Sample &Latest) {
  if (m_Previous.m_Count < 1 || Latest.m_Count < 1)
    return;
  double Contrast = std::log(Latest.m_Concurrency / m_Previous.m_Concurrency);
  if (std::abs(Contrast) < 0.02)
    return;
  double Elasticity = std::log(Latest.m_Rate / m_Previous.m_Rate) / Contrast;
  double Variance = CountVariance *
                    (1 / Latest.m_Count + 1 / m_Previous.m_Count) /
                    (Contrast * Contrast);
  double Noise = std::sqrt(Variance);
  if (std::abs(Elasticity - 0.5) > 0.5 + OutlierNoise * Noise) {
    clearComparisons();
    return;
  }
  m_ElasticitySum += std::clamp(Elasticity, MinElasticity, MaxElasticity);
  m_GainSum += 1 / (1 + Variance / HalfGainVariance);
  // A rise and a fall together: what drifts with time cancels out.
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
  m_Falls = 0;
  m_RiseEvidence += Gain * Error;
  m_Depth = leastDepth();
  if (m_RiseEvidence > RampEvidence) {
    startRamp();
    return;
  }
  scale(Gain * RiseGain * Error);
}

void ConcurrencyLimit::fall(double Error, double Gain) {
  m_RiseEvidence = 0;
  ++m_Falls;
  double Contrast = -std::log(1 - m_Depth);
  double Share = std::max(Error / TargetElasticity, -1.0);
  double Haste = std::min(1.0 + m_Falls * HasteGrowth, MaxHaste);
  scale(Gain * (RiseGain * Error + Haste * FallGain * Contrast * Share));
  if (m_Falls >= DepthFalls)
    m_Depth = std::min(m_Depth * DepthGrowth, MaxDepth);
}

void ConcurrencyLimit::scale(double Change) {
  double Factor = std::exp(std::clamp(Change, -MaxStep, MaxStep));
  m_High = std::clamp(m_High * Factor, m_Settings.m_Min, m_Settings.m_Max);
}

void ConcurrencyLimit::startRamp() {
  m_IsGrowing = true;
  m_RampFrom = m_High;
  m_BestRampLatency = 0;
  m_Previous = {};
  clearComparisons();
}

void ConcurrencyLimit::clearComparisons() {
  m_Comparisons = 0;
  m_ElasticitySum = m_GainSum = 0;
  m_Falls = 0;
  m_RiseEvidence = 0;
  m_Depth = leastDepth();
}

void ConcurrencyLimit::restart(absl::Time Now) {
  integrate(m_Running, Now);
  m_High = m_Settings.m_Initial;
  m_IsCold = true;
  startRamp();
  startPhase(Phase::High, Now);
}

} // namespace knapweedloft::policy
