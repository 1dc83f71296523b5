#ifndef KNAPWEEDLOFT_POLICY_COLDSTARTPACER_H
#define KNAPWEEDLOFT_POLICY_COLDSTARTPACER_H

#include "absl/time/time.h"

#include <cstddef>
#include <deque>

namespace knapweedloft::policy {

/// Limits how many requests a cold target starts in any window of one second
/// (a sliding-window rate limit), and in any half a second to half of that,
/// rounded up.
///
/// Without it, all requests that waited for a restarted target would reach it
/// at once. Without the shorter window, the starts of two seconds could arrive
/// in one: those of the first are late where connections have to be opened, and
/// a daemon that starts again does not know those of its former process. Not
/// thread-safe.
class ColdStartPacer {
public:
  /// Marks the target as cold until \p Until; until then it can start
  /// \p PerSecond requests a second.
  void setCold(absl::Time Until, double PerSecond);

  [[nodiscard]] bool isCold(absl::Time Now) const { return Now < m_Until; }

  /// Records a start if it is within the limit.
  /// \returns whether it is.
  [[nodiscard]] bool tryStart(absl::Time Now);
  /// \returns the earliest time of the next start within the limit.
  [[nodiscard]] absl::Time nextStart(absl::Time Now) const;

private:
  void expire(absl::Time Now);
  /// \returns the earliest time at which another start keeps within \p Max
  /// starts in any \p Window.
  [[nodiscard]] absl::Time nextWithin(std::size_t Max, absl::Duration Window,
                                      absl::Time Now) const;

  absl::Time m_Until = absl::InfinitePast();
  double m_PerSecond = 0;
  std::deque<absl::Time> m_Starts; ///< Within the last second.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_COLDSTARTPACER_H
