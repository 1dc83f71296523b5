#ifndef KNAPWEEDLOFT_MESH_COLDTIME_H
#define KNAPWEEDLOFT_MESH_COLDTIME_H

#include "absl/time/time.h"

#include <algorithm>
#include <optional>

namespace knapweedloft::mesh {

/// Until when the target is cold, as it is known so far.
///
/// It is kept also while no configuration says what a cold target bears, so
/// that it can be applied once one does. Reports may arrive late, so that their
/// order to health checks is not known: each replaces only what was known from
/// its own kind, and the longest time holds, that of a former start too. Not
/// thread-safe.
class ColdTime {
public:
  /// The latest report says that the target is cold for \p Remaining.
  void onReport(absl::Duration Remaining, absl::Time Now) {
    m_Reported = endOf(Remaining, m_Reported, Now);
  }
  /// A health check that began at \p Began was answered. \p Remaining is what
  /// the answer said, if it said anything.
  void onHealthCheck(std::optional<absl::Duration> Remaining, absl::Time Began,
                     absl::Time Now) {
    if (Remaining) {
      m_Checked = endOf(*Remaining, m_Checked, Now);
      m_CheckedAt = Now;
    }
    if (Began >= m_SuspectedAt)
      m_SuspectedAt = absl::InfinitePast();
  }
  /// The target may have gone cold by now; only a health check can tell.
  void suspect(absl::Time Now) { m_SuspectedAt = Now; }

  /// Drops a suspicion that a cold start would have outlasted.
  void expire(absl::Duration ColdStart, absl::Time Now) {
    if (isSuspected() && Now >= m_SuspectedAt + ColdStart)
      m_SuspectedAt = absl::InfinitePast();
  }

  /// \returns whether the target has to be checked.
  [[nodiscard]] bool isSuspected() const {
    return m_SuspectedAt != absl::InfinitePast();
  }
  /// \param ColdStart how long targets of the service are cold after a start.
  [[nodiscard]] absl::Time until(absl::Duration ColdStart) const {
    // A target that is cold for longer reports so meanwhile.
    absl::Time Checked = std::min(m_Checked, m_CheckedAt + ColdStart);
    absl::Time Told = std::max(m_Reported, Checked);
    return isSuspected() ? std::max(Told, m_SuspectedAt + ColdStart) : Told;
  }

private:
  /// Targets round the time that they tell, a rest to nothing. What waits for
  /// the end of the cold time must not come before it.
  static constexpr absl::Duration RoundingMargin = absl::Milliseconds(50);

  static absl::Time endOf(absl::Duration Remaining, absl::Time Former,
                          absl::Time Now) {
    absl::Time End = Now + Remaining + RoundingMargin;
    return Remaining > absl::ZeroDuration() ? End : std::min(Former, End);
  }

  absl::Time m_Reported = absl::InfinitePast();
  absl::Time m_Checked = absl::InfinitePast();
  absl::Time m_CheckedAt = absl::InfinitePast();
  absl::Time m_SuspectedAt = absl::InfinitePast();
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_COLDTIME_H
