#ifndef KNAPWEEDLOFT_POLICY_CONCURRENCYLIMIT_H
#define KNAPWEEDLOFT_POLICY_CONCURRENCYLIMIT_H

#include "policy/RunOutcome.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Estimates how many requests a target can run at once, from its rate of
/// success alone.
///
/// While requests wait for a slot, the limit alternates between a high and a
/// low value and compares the rates of success. Where more concurrency gives
/// more successes the limit rises; where it does not, the limit falls. Since
/// both rates are measured under the same conditions, a target that slows down
/// without losing slots keeps its limit, and fast errors do not raise it.
/// Without queued requests the limit does not change. Not thread-safe.
///
/// \code
///   if (Running < Limit.current())
///     Limit.onStart(++Running, Now);
///   Limit.onFinish(--Running, Outcome, Latency, Now);
/// \endcode
class ConcurrencyLimit {
public:
  struct Options {
    double m_Initial = 2;
    double m_Min = 1;
    double m_Max = 4096;
  };

  /// \throws PolicyError unless 1 <= min <= initial <= max.
  ConcurrencyLimit(const Options &Settings, absl::Time Now);

  /// \returns how many requests may run at once now.
  [[nodiscard]] double current() const;

  /// \returns whether the ramp after a cold start has not yet found the number
  /// of slots.
  [[nodiscard]] bool isRamping() const { return m_IsCold; }

  /// \returns the mean latency of recent runs.
  [[nodiscard]] absl::Duration latency() const;

  /// \p Running is the number of running requests after the start or the end.
  void onStart(std::uint32_t Running, absl::Time Now);
  void onFinish(std::uint32_t Running, RunOutcome Outcome,
                absl::Duration Latency, absl::Time Now);

  /// Starts again from the initial value.
  void restart(absl::Time Now);

private:
  enum class Phase : std::uint8_t { Low, High };

  /// Measurements of one phase.
  struct Sample {
    double m_Concurrency = 0; ///< Mean number of running requests.
    double m_Rate = 0;        ///< Successes per second.
    double m_Count = 0;       ///< Successes.
  };

  void integrate(std::uint32_t Running, absl::Time Now);
  void recordLatency(absl::Duration Latency);
  void growRamp();
  void checkRamp(const Sample &Latest);
  [[nodiscard]] static double minRampRate(const Sample &Previous,
                                          const Sample &Latest);
  [[nodiscard]] static double coldLimit(double Knee, const Sample &Latest);
  [[nodiscard]] double grownLimit(double Knee) const;
  void startPhase(Phase Next, absl::Time Now);
  void endPhase(absl::Time Now);
  void comparePhases(const Sample &Latest);
  void step(double Elasticity, double Gain);
  void rise(double Error, double Gain);
  void fall(double Error, double Gain);
  void scale(double Change);
  void startRamp();
  void clearComparisons();
  void reduceOnOverload();
  [[nodiscard]] bool isMeasured(absl::Time Now) const;
  [[nodiscard]] double minPhaseGap() const;

  Options m_Settings;
  double m_HighLimit;
  bool m_IsCold = true;
  bool m_IsGrowing = true; ///< The limit grows with each success.
  Phase m_Phase = Phase::High;
  double m_LatencySeconds = 0;

  absl::Time m_LastUpdate;
  absl::Time m_MeasureFrom;
  std::uint32_t m_Running = 0;
  double m_RunningSeconds = 0; ///< Integral of m_Running over the phase.
  std::uint32_t m_Successes = 0;
  std::uint32_t m_Overloads = 0; ///< Timeouts and overload answers.

  Sample m_Previous;
  double m_ElasticitySum = 0;
  double m_GainSum = 0;
  int m_Comparisons = 0;
  double m_PhaseGap = 0.2; ///< Low phase below high, as a share.
  int m_ConsecutiveFalls = 0;
  double m_RiseSum = 0;    ///< Sum of weighted rises in a row.
  double m_PhaseLimit = 0; ///< At the start of the phase.
  double m_RampFrom = 0;
  double m_BestRampLatency = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_CONCURRENCYLIMIT_H
