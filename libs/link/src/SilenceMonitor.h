#ifndef KNAPWEEDLOFT_LINK_SILENCEMONITOR_H
#define KNAPWEEDLOFT_LINK_SILENCEMONITOR_H

#include "absl/time/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace knapweedloft::link {

/// Tells when a link has gone silent in either direction: nothing came for the
/// limit, or a heartbeat that was sent has no acknowledgement for the limit.
class SilenceMonitor {
public:
  SilenceMonitor(absl::Duration Limit, absl::Time Now)
      : m_Limit(Limit), m_LastReceived(Now) {}

  void setLimit(absl::Duration Limit) { m_Limit = Limit; }

  void onReceived(absl::Time Now) { m_LastReceived = Now; }

  /// \returns the sequence of the heartbeat that goes out now.
  std::uint64_t onHeartbeat(absl::Time Now) {
    m_Unacknowledged.push_back({++m_Sequence, Now});
    return m_Sequence;
  }

  void onAcknowledged(std::uint64_t Sequence) {
    while (!m_Unacknowledged.empty() &&
           m_Unacknowledged.front().m_Sequence <= Sequence)
      m_Unacknowledged.pop_front();
  }

  /// \returns when the link counts as silent unless something comes before.
  [[nodiscard]] absl::Time deadline() const {
    absl::Time Since = m_LastReceived;
    if (!m_Unacknowledged.empty())
      Since = std::min(Since, m_Unacknowledged.front().m_Sent);
    return Since + m_Limit;
  }

private:
  struct Sent {
    std::uint64_t m_Sequence;
    absl::Time m_Sent;
  };

  absl::Duration m_Limit;
  absl::Time m_LastReceived;
  std::uint64_t m_Sequence = 0;
  std::deque<Sent> m_Unacknowledged;
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_SILENCEMONITOR_H
