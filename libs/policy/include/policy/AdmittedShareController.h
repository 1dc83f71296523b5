#ifndef KNAPWEEDLOFT_POLICY_ADMITTEDSHARECONTROLLER_H
#define KNAPWEEDLOFT_POLICY_ADMITTEDSHARECONTROLLER_H

#include "absl/time/time.h"

#include <cstddef>
#include <deque>

namespace knapweedloft::policy {

/// Computes the share of new work that the entry sides admit, so that the work
/// that reaches one target stays just below its capacity.
///
/// Offered work is the sum of running requests, by the slots that they occupy,
/// and rejected requests, by the time that they would have occupied one. Meant
/// for call chains whose bottleneck lies several calls below the entry side:
/// work that starts there arrives here later, and rejecting it here would waste
/// what the services above have done for it. A target that waits for the
/// services that it calls is not short of slots and admits everything, however
/// long its requests take. The share is corrected by the ratio of the setpoint
/// to the measured utilization. What is corrected is the share that was in
/// force when the measured work was admitted: the present one may have dealt
/// with that load already. After the propagation of demand through the stages
/// of a pipeline in the related paper; here each stage reports to the entry
/// sides. Not thread-safe.
class AdmittedShareController {
public:
  struct Options {
    double m_UtilizationSetpoint = 0.92; ///< Share of the slots to fill.
    absl::Duration m_Interval = absl::Milliseconds(250);
    /// From the admission of a request until its calls arrive here and show in
    /// the measured load.
    absl::Duration m_Delay = absl::Milliseconds(750);
    double m_MinStepFactor = 0.75; ///< Minimum factor per interval.
    double m_MaxStepFactor = 1.25; ///< Maximum factor per interval.
    double m_MinAdmittedShare =
        0.1; ///< Above 0, so that a fall of load is noticed.
  };

  explicit AdmittedShareController(const Options &Settings)
      : m_Settings(Settings) {}

  /// From now on \p Running requests occupy one slot each.
  void onRunning(std::size_t Running, absl::Time Now);
  /// Reports rejected work that would have occupied a slot for \p Time.
  void onRejected(absl::Duration Time) {
    m_RejectedSeconds += absl::ToDoubleSeconds(Time);
  }

  /// Corrects the share if an interval has passed. \p Slots is the capacity.
  void update(double Slots, absl::Time Now);

  /// \returns the share of new work to admit, 0 to 1.
  [[nodiscard]] double admittedShare() const { return m_AdmittedShare; }
  /// \returns the running and the rejected work, in slots.
  [[nodiscard]] double offeredSlots() const { return m_OfferedSlots; }

private:
  struct FormerShare {
    absl::Time m_Since;
    double m_Share = 1;
  };

  /// \returns the share in force at \p When, and forgets those before it.
  double shareAt(absl::Time When);

  Options m_Settings;
  std::deque<FormerShare> m_Former; ///< The oldest first.
  std::size_t m_Running = 0;
  absl::Time m_LastRunningUpdate = absl::InfinitePast();
  double m_RunningSeconds = 0;  ///< Since m_IntervalStart, over all slots.
  double m_RejectedSeconds = 0; ///< Since m_IntervalStart.
  absl::Time m_IntervalStart = absl::InfinitePast();
  double m_OfferedSlots = 0; ///< Smoothed, running and rejected.
  double m_AdmittedShare = 1;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMITTEDSHARECONTROLLER_H
