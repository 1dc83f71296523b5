#ifndef KNAPWEEDLOFT_MESH_PLANNEDSTOP_H
#define KNAPWEEDLOFT_MESH_PLANNEDSTOP_H

#include "absl/time/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace knapweedloft::mesh {

/// Decides how a planned stop goes on: requests are served for some seconds,
/// then what is under way ends, then idle connections, then the process. What
/// is still under way at the timeout is answered before the process ends.
///
/// \code
///   Stop.begin(Now);
///   ... // a few times a second
///   if (Stop.next(IsIdle, Connections, Now) == PlannedStop::Step::End)
///     end();
/// \endcode
class PlannedStop {
public:
  enum class Step : std::uint8_t {
    Wait,
    EndIdle,     ///< Take what waits in the sockets and end idle connections.
    EndRequests, ///< Answer what is still under way.
    End
  };

  /// Callers poll readiness once a second and stop sending after two negative
  /// answers in a row; until then their requests are accepted.
  static constexpr absl::Duration MinDuration = absl::Milliseconds(2300);
  /// New requests are refused this long after the start of a stop, except calls
  /// that surely end in time. Those read before have the rest of the platform's
  /// grace period.
  static constexpr absl::Duration IntakeDuration = absl::Milliseconds(2800);
  /// Callers have this long to close connections that the daemon has ended.
  static constexpr absl::Duration CloseTimeout = absl::Milliseconds(300);

  explicit PlannedStop(absl::Duration Timeout)
      : m_Timeout(std::max(Timeout, MinDuration)) {}

  void begin(absl::Time Now) { m_Began = Now; }
  [[nodiscard]] bool hasBegun() const {
    return m_Began != absl::InfiniteFuture();
  }
  [[nodiscard]] absl::Time began() const { return m_Began; }
  /// \returns until when requests may be under way.
  [[nodiscard]] absl::Time end() const { return m_Began + m_Timeout; }

  /// \p IsIdle: no request or answer is under way. \p Connections of callers
  /// are open.
  [[nodiscard]] Step next(bool IsIdle, std::size_t Connections,
                          absl::Time Now) {
    absl::Duration Passed = Now - m_Began;
    if (Passed >= m_Timeout)
      return nextAfterTimeout(Connections, Now);
    if (Passed < MinDuration || !IsIdle)
      return Step::Wait;
    if (m_EndedIdle == absl::InfiniteFuture()) {
      m_EndedIdle = Now;
      return Step::EndIdle;
    }
    return isClosed(Connections, m_EndedIdle, Now) ? Step::End : Step::Wait;
  }

private:
  [[nodiscard]] Step nextAfterTimeout(std::size_t Connections, absl::Time Now) {
    if (m_EndedRequests == absl::InfiniteFuture()) {
      m_EndedRequests = Now;
      return Step::EndRequests;
    }
    return isClosed(Connections, m_EndedRequests, Now) ? Step::End : Step::Wait;
  }

  [[nodiscard]] static bool isClosed(std::size_t Connections, absl::Time Since,
                                     absl::Time Now) {
    return Connections == 0 || Now - Since >= CloseTimeout;
  }

  absl::Duration m_Timeout;
  absl::Time m_Began = absl::InfiniteFuture();
  absl::Time m_EndedIdle = absl::InfiniteFuture();
  absl::Time m_EndedRequests = absl::InfiniteFuture();
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_PLANNEDSTOP_H
