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
/// its own kind, and the longest time holds. Not thread-safe.
class ColdTime {
public:
  /// The latest report says that the target is cold for \p Remaining.
  void onReport(absl::Duration Remaining, absl::Time Now) {
    m_Reported = endOf(Remaining, Now);
  }
  /// A health check that began at \p Began was answered. \p Remaining is what
  /// the answer said, if it said anything.
  void onHealthCheck(std::optional<absl::Duration> Remaining, absl::Time Began,
                     absl::Time Now) {
    if (Remaining)
      m_Checked = endOf(*Remaining, Now);
    if (Began >= m_SuspectedAt)
      m_SuspectedAt = absl::InfinitePast();
  }
  /// The target may have gone cold by now; only a health check can tell.
  void suspect(absl::Time Now) { m_SuspectedAt = Now; }
  /// Another instance has taken the place of the target.
  void forgetInstance() { m_Reported = m_Checked = absl::InfinitePast(); }

  /// \returns whether the target has to be checked.
  [[nodiscard]] bool isSuspected() const {
    return m_SuspectedAt != absl::InfinitePast();
  }
  /// \param ColdStart how long targets of the service are cold after a start.
  [[nodiscard]] absl::Time until(absl::Duration ColdStart) const {
    absl::Time Told = std::max(m_Reported, m_Checked);
    return isSuspected() ? std::max(Told, m_SuspectedAt + ColdStart) : Told;
  }

private:
  /// Targets round the time that they tell, some to a tenth of a second. What
  /// waits for the end of the cold time must not come before it.
  static constexpr absl::Duration RoundingMargin = absl::Milliseconds(50);

  static absl::Time endOf(absl::Duration Remaining, absl::Time Now) {
    return Remaining > absl::ZeroDuration() ? Now + Remaining + RoundingMargin
                                            : Now;
  }

  absl::Time m_Reported = absl::InfinitePast();
  absl::Time m_Checked = absl::InfinitePast();
  absl::Time m_SuspectedAt = absl::InfinitePast();
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_COLDTIME_H
