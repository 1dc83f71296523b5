#ifndef KNAPWEEDLOFT_POLICY_PACEFILTER_H
#define KNAPWEEDLOFT_POLICY_PACEFILTER_H

#include "policy/PaceChange.h"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace knapweedloft::policy {

/// The pace of one target: how long work takes there at this moment, against
/// the mean of the last seconds, by what the target says of itself and as far
/// as its measured runs confirm it.
///
/// A report counts less as it ages, as fast as the reports change. How far runs
/// follow the reported pace is measured by a regression of the logarithms: runs
/// that mostly wait for other services follow it little, and a figure that runs
/// contradict has no effect. A figure that used to change and does not any more
/// has no effect either. Not thread-safe.
///
/// \code
///   Filter.onReport(250, Now);
///   auto Start = Filter.clock(Now);
///   ...
///   absl::Duration Usual = Filter.onRun(Class, Latency, Start, Now);
///   absl::Duration Expected = Usual * Filter.pace(Usual / 2, Now);
/// \endcode
class PaceFilter {
public:
  enum class Trust : std::uint8_t { Unnamed, Used, Frozen, Contradicted };

  /// Takes a figure in percent, above 0.
  void onReport(double Percent, absl::Time Now);

  /// \returns the time that the target's work has advanced, at its usual pace.
  [[nodiscard]] absl::Duration clock(absl::Time Now) const;
  /// Reports a run of \p Class that took \p Latency since the clock read
  /// \p Start. \returns the time it would have taken at the usual pace.
  absl::Duration onRun(std::uint32_t Class, absl::Duration Latency,
                       absl::Duration Start, absl::Time Now);

  /// \returns the factor of work that is done \p Ahead of now against its usual
  /// time; 1 if nothing is known.
  [[nodiscard]] double pace(absl::Duration Ahead, absl::Time Now) const;
  [[nodiscard]] Trust trust(absl::Time Now) const;
  /// \returns how far runs follow the named pace, 0 to 1.
  [[nodiscard]] double confirmedShare() const;
  [[nodiscard]] absl::Duration age(absl::Time Now) const {
    return Now - m_ReportedAt;
  }
  [[nodiscard]] absl::Duration halfLife() const { return m_Change.halfLife(); }

private:
  [[nodiscard]] double logDeviation() const;
  [[nodiscard]] bool isFrozen(absl::Time Now) const;

  PaceChange m_Change;
  double m_Reported = 0; ///< Logarithm of the latest report.
  absl::Time m_ReportedAt = absl::InfinitePast();
  absl::Time m_ChangedAt = absl::InfinitePast();
  bool m_HasChanged = false;
  absl::Duration m_Clock; ///< At the latest report.
  /// Moving averages of the logarithm of latency, indexed by class; NaN: none.
  std::vector<double> m_MeanLogLatency;
  double m_MeanLogPace = 0;    ///< Of runs.
  double m_PaceVariance = 0;   ///< Of runs; decaying sum.
  double m_PaceCovariance = 0; ///< Of pace and latency; decaying sum.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_PACEFILTER_H
