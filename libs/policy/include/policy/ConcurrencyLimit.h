#ifndef KNAPWEEDLOFT_POLICY_CONCURRENCYLIMIT_H
#define KNAPWEEDLOFT_POLICY_CONCURRENCYLIMIT_H

#include "policy/RunOutcome.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Finds how many requests a target can run at once, from its successes alone.
///
/// While requests wait for a slot, the limit alternates between a high and a
/// low value and compares the rates of success. Where more concurrency gives
/// more successes the limit rises, where it gives none it falls. Since both
/// rates are measured under the same conditions, a target that slows without
/// losing slots keeps its limit, and errors that come fast do not raise it.
/// Without waiting requests the limit stays as it is. Not thread-safe.
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

  /// \returns the requests that may run at once now.
  [[nodiscard]] double current() const;

  /// \returns whether it has not yet found the slots since its start.
  [[nodiscard]] bool isRamping() const { return m_IsCold; }

  /// \returns the mean latency of recent runs.
  [[nodiscard]] absl::Duration latency() const;

  /// \p Running counts the requests after the start or the end.
  void onStart(std::uint32_t Running, absl::Time Now);
  void onFinish(std::uint32_t Running, RunOutcome Outcome,
                absl::Duration Latency, absl::Time Now);

  /// Starts again from the initial value.
  void restart(absl::Time Now);

private:
  enum class Phase : std::uint8_t { Low, High };

  /// What was measured in one phase.
  struct Sample {
    double m_Concurrency = 0; ///< Mean requests that ran.
    double m_Rate = 0;        ///< Successes a second.
    double m_Count = 0;       ///< Successes.
  };

  void integrate(std::uint32_t Running, absl::Time Now);
  void noteLatency(absl::Duration Latency);
  void growRamp();
  void checkRamp(const Sample &Latest);
  [[nodiscard]] static double flatRate(const Sample &Before,
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
  [[nodiscard]] double leastDepth() const;

  Options m_Settings;
  double m_High;
  bool m_IsCold = true;
  bool m_IsGrowing = true; ///< With each success, as in the ramp.
  Phase m_Phase = Phase::High;
  double m_LatencySeconds = 0;

  absl::Time m_Updated;
  absl::Time m_MeasureFrom;
  std::uint32_t m_Running = 0;
  double m_RunningSeconds = 0; ///< Integral of the running over the phase.
  std::uint32_t m_Successes = 0;
  std::uint32_t m_Overloads = 0; ///< Timeouts and answers of overload.

  Sample m_Previous;
  double m_ElasticitySum = 0;
  double m_GainSum = 0;
  int m_Comparisons = 0;
  double m_Depth = 0.2; ///< Distance of the phases, as a share of the high.
  int m_Falls = 0;      ///< In a row.
  double m_RiseEvidence = 0; ///< That more concurrency pays.
  double m_PhaseLimit = 0;   ///< At the start of the phase.
  double m_RampFrom = 0;
  double m_BestRampLatency = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_CONCURRENCYLIMIT_H
