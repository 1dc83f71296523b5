#ifndef KNAPWEEDLOFT_MESH_COLDTIME_H
#define KNAPWEEDLOFT_MESH_COLDTIME_H

#include "absl/time/time.h"

#include <algorithm>

namespace knapweedloft::mesh {

/// Until when the target is cold, as it is known so far.
///
/// It is kept also while no configuration says what a cold target bears, so
/// that it can be applied once one does. Not thread-safe.
class ColdTime {
public:
  /// The target has said that it is cold for \p Remaining.
  void set(absl::Duration Remaining, absl::Time Now) {
    m_Until = Now + Remaining;
    m_SuspectedAt = absl::InfinitePast();
  }
  /// The target may have gone cold by now; only it can tell.
  void suspect(absl::Time Now) { m_SuspectedAt = Now; }

  /// \returns whether the target has to be asked.
  [[nodiscard]] bool isSuspected() const {
    return m_SuspectedAt != absl::InfinitePast();
  }
  /// \param ColdStart how long targets of the service are cold after a start.
  [[nodiscard]] absl::Time until(absl::Duration ColdStart) const {
    return isSuspected() ? std::max(m_Until, m_SuspectedAt + ColdStart)
                         : m_Until;
  }

private:
  absl::Time m_Until = absl::InfinitePast();
  absl::Time m_SuspectedAt = absl::InfinitePast();
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_COLDTIME_H
