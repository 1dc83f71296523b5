#ifndef KNAPWEEDLOFT_LINK_MESSAGEAGE_H
#define KNAPWEEDLOFT_LINK_MESSAGEAGE_H

#include "absl/time/time.h"

#include <algorithm>

namespace knapweedloft::link {

/// Tells how long messages of a peer have been on their way at least.
///
/// A heartbeat names its sender's clock. The least difference between the two
/// clocks that was seen lately is taken for a heartbeat that was not delayed.
/// A message was sent after the heartbeat before it and, at the latest, one
/// interval later. It counts as delayed by what that heartbeat was delayed and
/// by what this process was held up since. Clocks that drift apart are followed
/// within two windows.
class MessageAge {
public:
  void onHeartbeat(absl::Time SentAt, absl::Time Now) {
    absl::Duration Difference = Now - SentAt;
    if (Now - m_WindowStarted > Window) {
      m_FormerLeast = m_Least;
      m_Least = Difference;
      m_WindowStarted = Now;
    }
    m_Least = std::min(m_Least, Difference);
    m_LastDelay = Difference - std::min(m_Least, m_FormerLeast);
    m_LastRead = Now;
  }

  /// \p HeldUp: how long this process did not read before the present round.
  /// \p Interval: of the peer's heartbeats.
  [[nodiscard]] absl::Duration leastAge(absl::Time Now, absl::Duration HeldUp,
                                        absl::Duration Interval) const {
    absl::Duration Since = std::min(Now - m_LastRead, HeldUp);
    return std::max(m_LastDelay + Since - Interval, absl::ZeroDuration());
  }

  /// \returns how much the last heartbeat was delayed.
  [[nodiscard]] absl::Duration lastDelay() const { return m_LastDelay; }

private:
  static constexpr absl::Duration Window = absl::Seconds(30);

  absl::Time m_WindowStarted = absl::InfinitePast();
  absl::Duration m_Least = absl::InfiniteDuration();
  absl::Duration m_FormerLeast = absl::InfiniteDuration();
  absl::Duration m_LastDelay;
  absl::Time m_LastRead = absl::InfiniteFuture();
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_MESSAGEAGE_H
