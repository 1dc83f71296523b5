#ifndef KNAPWEEDLOFT_POLICY_COLDSTARTPACER_H
#define KNAPWEEDLOFT_POLICY_COLDSTARTPACER_H

#include "absl/time/time.h"

#include <deque>

namespace knapweedloft::policy {

/// Limits how many requests a cold target starts in any window of one second
/// (a sliding-window rate limit).
///
/// Without it, all requests that waited for a restarted target would reach it
/// at once. Not thread-safe.
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

  absl::Time m_Until = absl::InfinitePast();
  double m_PerSecond = 0;
  std::deque<absl::Time> m_Starts; ///< Within the last second.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_COLDSTARTPACER_H
