#ifndef KNAPWEEDLOFT_POLICY_PACECHANGE_H
#define KNAPWEEDLOFT_POLICY_PACECHANGE_H

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Measures how fast the pace of a target loses its worth as a forecast.
///
/// Of two values that lie a short time apart, the mean squared difference grows
/// with that time in proportion to the variance and to the rate of change. The
/// quotient is that rate, whatever the size of the changes. Not thread-safe.
///
/// \code
///   Change.onValue(LogPace, Now);
///   double Weight = Change.weight(Now - ReportedAt);
/// \endcode
class PaceChange {
public:
  /// \p LogPace: natural logarithm of the pace.
  void onValue(double LogPace, absl::Time Now);

  /// \returns the share of a deviation from the mean that is still to be
  /// expected after \p Age, 0 to 1.
  [[nodiscard]] double weight(absl::Duration Age) const;
  /// \returns the age at which the weight is a half.
  [[nodiscard]] absl::Duration halfLife() const;
  /// \returns the mean over the last seconds; at first the usual pace, 0.
  [[nodiscard]] double mean() const { return m_Mean; }

private:
  [[nodiscard]] absl::Duration meanLife() const;

  absl::Time m_LastAt = absl::InfinitePast();
  double m_Last = 0;
  double m_Mean = 0;
  double m_SquaredOff = 0;   ///< Decaying sum, over time.
  double m_OffSeconds = 0;   ///< Decaying sum.
  double m_SquaredSteps = 0; ///< Decaying sum.
  double m_StepSeconds = 0;  ///< Decaying sum.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_PACECHANGE_H
