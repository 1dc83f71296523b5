#ifndef KNAPWEEDLOFT_POLICY_COLDPACER_H
#define KNAPWEEDLOFT_POLICY_COLDPACER_H

#include "absl/time/time.h"

#include <deque>

namespace knapweedloft::policy {

/// Keeps the starts of requests at a cold target within a number in every
/// second, wherever that second begins.
///
/// Answers the load that follows a restart: all that waited for the target
/// would reach it at once. Not thread-safe.
class ColdPacer {
public:
  /// The target is cold until \p Until and bears \p PerSecond starts.
  void setCold(absl::Time Until, double PerSecond);

  [[nodiscard]] bool isCold(absl::Time Now) const { return Now < m_Until; }

  /// Records a start if it is within the bound.
  [[nodiscard]] bool tryStart(absl::Time Now);
  /// \returns when the next start is within the bound.
  [[nodiscard]] absl::Time nextStart(absl::Time Now) const;

private:
  void expire(absl::Time Now);

  absl::Time m_Until = absl::InfinitePast();
  double m_PerSecond = 0;
  std::deque<absl::Time> m_Starts; ///< Of the last second.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_COLDPACER_H
