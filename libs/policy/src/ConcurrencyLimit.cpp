#include "policy/ConcurrencyLimit.h"

#include "policy/PolicyError.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Growth for each success of the ramp: half as much again in each round trip.
constexpr double RampGrowth = 0.5;
/// The ramp ends where the latency is this many times the least seen in it.
constexpr double RampLatencyRatio = 1.3;
/// Added to it, divided by the root of the count.
constexpr double RampNoise = 1;
/// Share of its concurrency that the ramp keeps at least when it ends.
constexpr double MaxRampOvershoot = 0.6;
/// Share of the limit that must be in use for a phase to count.
constexpr double UsedShare = 0.9;
/// Elasticity of the rate of success at which the limit stays.
constexpr double TargetElasticity = 0.15;
/// Rise of the logarithm of the limit for each unit of elasticity.
constexpr double RiseGain = 0.4;
/// Fall of it as a share of the distance between the phases, if the low phase
/// lost nothing.
constexpr double FallGain = 0.3;
constexpr double MaxStep = 0.25;
/// Steps in the same direction grow by this factor, up to a bound.
constexpr double HasteGrowth = 1.4;
constexpr double MaxHaste = 5;
/// Elasticities beyond are noise, or conditions that changed meanwhile.
constexpr double MinElasticity = -0.5;
constexpr double MaxElasticity = 1.5;
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
/// Phases end at last after so many latencies.
constexpr double MaxPhaseLatencies = 6;
/// Below this limit the phases lie further apart, since counts are few.
constexpr double SmallLimit = 64;
constexpr double SmallDepth = 0.2;
constexpr double LargeDepth = 0.1;
/// The low phase goes deeper while it loses nothing, since that shows more.
constexpr double MaxDepth = 0.4;
constexpr double DepthGrowth = 2;
/// Haste of falls from which it goes deeper.
constexpr double DepthHaste = 3;

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
  double Enough = std::max(MinSuccesses, m_High / 2);
  return m_Successes + m_Overloads >= Enough ||
         Seconds > MaxPhaseLatencies * m_LatencySeconds;
}

void ConcurrencyLimit::growRamp() {
  if (m_IsRamping && m_Running + 1 >= UsedShare * current())
    m_High = std::min(m_High + RampGrowth, m_Settings.m_Max);
}

void ConcurrencyLimit::checkRamp(const Sample &Latest) {
  if (Latest.m_Count < 1)
    return;
  double Latency = Latest.m_Concurrency / Latest.m_Rate;
  if (m_BestRampLatency == 0 || Latency < m_BestRampLatency)
    m_BestRampLatency = Latency;
  double Noise = RampNoise / std::sqrt(Latest.m_Count);
  if (Latency < (RampLatencyRatio + Noise) * m_BestRampLatency)
    return;
  m_IsRamping = false;
  double Knee = Latest.m_Rate * m_BestRampLatency;
  double Least = MaxRampOvershoot * Latest.m_Concurrency;
  m_High = std::max({Knee, Least, m_Settings.m_Min});
}

void ConcurrencyLimit::startPhase(Phase Next, absl::Time Now) {
  m_Phase = Next;
  // The requests of the phase before are given time to end.
  double Settle = m_IsRamping ? 0 : m_LatencySeconds;
  m_MeasureFrom = Now + absl::Seconds(Settle);
  m_RunningSeconds = 0;
  m_Successes = 0;
  m_Overloads = 0;
}

void ConcurrencyLimit::endPhase(absl::Time Now) {
  double Seconds = absl::ToDoubleSeconds(Now - m_MeasureFrom);
  Sample Latest{m_RunningSeconds / Seconds, m_Successes / Seconds,
                static_cast<double>(m_Successes)};
  bool IsUsed = Latest.m_Concurrency >= UsedShare * current() - 1;
  reduceOnOverload();
  if (m_IsRamping) {
    checkRamp(Latest);
    startPhase(Phase::High, Now);
    return;
  }
  if (!IsUsed) {
    m_Previous = {};
    m_Comparisons = 0;
    m_ElasticitySum = m_GainSum = 0;
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
  m_IsRamping = false;
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
  bool IsSameWay = Error * m_LastError > 0;
  m_Haste = IsSameWay ? std::min(m_Haste * HasteGrowth, MaxHaste) : 1;
  m_LastError = Error;
  double Contrast = -std::log(1 - m_Depth);
  double Change = Error > 0 ? m_Haste * RiseGain * Error
                            : FallGain * Contrast *
                                  std::max(Error / TargetElasticity, -1.0);
  Change = Gain * std::clamp(Change, -MaxStep, MaxStep);
  m_High =
      std::clamp(m_High * std::exp(Change), m_Settings.m_Min, m_Settings.m_Max);
  if (Error > 0)
    m_Depth = leastDepth();
  else if (m_Haste >= DepthHaste)
    m_Depth = std::min(m_Depth * DepthGrowth, MaxDepth);
}

void ConcurrencyLimit::restart(absl::Time Now) {
  integrate(m_Running, Now);
  m_High = m_Settings.m_Initial;
  m_IsRamping = true;
  m_Haste = 1;
  m_Depth = leastDepth();
  m_BestRampLatency = 0;
  m_Previous = {};
  m_Comparisons = 0;
  m_ElasticitySum = m_GainSum = 0;
  startPhase(Phase::High, Now);
}

} // namespace knapweedloft::policy
