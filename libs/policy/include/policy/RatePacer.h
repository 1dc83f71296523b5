#ifndef KNAPWEEDLOFT_POLICY_RATEPACER_H
#define KNAPWEEDLOFT_POLICY_RATEPACER_H

#include "absl/time/time.h"

#include <cstddef>
#include <deque>

namespace knapweedloft::policy {

/// Spaces the starts of requests to a target so that they stay within a rate.
///
/// Starts come in batches of a quarter of a second's worth, at least one: in
/// any span of T seconds there are at most rate x T starts and one batch more,
/// whatever was started before the rate was set. Not thread-safe.
///
/// \code
///   Pacer.setRate(20, Now);
///   if (Pacer.nextStart(Now) <= Now) {
///     Pacer.onStart(Now);
///     send();
///   }
/// \endcode
class RatePacer {
public:
  /// Limits starts to \p PerSecond, which is positive. The first batch starts
  /// only after its time, since the target may just have got a burst.
  void setRate(double PerSecond, absl::Time Now);
  /// Removes the limit.
  void clear();

  [[nodiscard]] bool isLimited() const { return m_PerSecond > 0; }
  /// \returns the rate, or 0 without a limit.
  [[nodiscard]] double perSecond() const { return m_PerSecond; }
  /// \returns the earliest time of the next start within the limit.
  [[nodiscard]] absl::Time nextStart(absl::Time Now) const;
  /// Records a start.
  void onStart(absl::Time Now);

private:
  [[nodiscard]] std::size_t batch() const;
  void trim();

  double m_PerSecond = 0;
  std::deque<absl::Time> m_Starts; ///< The latest, at most one batch.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RATEPACER_H
