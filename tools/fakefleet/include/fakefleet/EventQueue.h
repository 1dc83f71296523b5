#ifndef KNAPWEEDLOFT_FAKEFLEET_EVENTQUEUE_H
#define KNAPWEEDLOFT_FAKEFLEET_EVENTQUEUE_H

#include "absl/time/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace knapweedloft::fakefleet {

/// Runs tasks in the order of their times; those of one time in the order in
/// which they were added.
class EventQueue {
public:
  [[nodiscard]] absl::Time now() const { return m_Now; }

  void at(absl::Time When, std::function<void()> Task) {
    m_Events.push({std::max(When, m_Now), m_Sequence++, std::move(Task)});
  }

  void after(absl::Duration Delay, std::function<void()> Task) {
    at(m_Now + Delay, std::move(Task));
  }

  /// Runs everything that is due before \p End.
  void runUntil(absl::Time End) {
    while (!m_Events.empty() && m_Events.top().m_When < End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_When;
      Next.m_Task();
    }
    m_Now = End;
  }

private:
  struct Event {
    absl::Time m_When;
    std::uint64_t m_Sequence;
    std::function<void()> m_Task;

    friend bool operator<(const Event &Left, const Event &Right) {
      if (Left.m_When != Right.m_When)
        return Left.m_When > Right.m_When;
      return Left.m_Sequence > Right.m_Sequence;
    }
  };

  absl::Time m_Now = absl::UnixEpoch();
  std::uint64_t m_Sequence = 0;
  std::priority_queue<Event> m_Events;
};

} // namespace knapweedloft::fakefleet

#endif // KNAPWEEDLOFT_FAKEFLEET_EVENTQUEUE_H
