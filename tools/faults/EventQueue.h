#ifndef KNAPWEEDLOFT_FAULTS_EVENTQUEUE_H
#define KNAPWEEDLOFT_FAULTS_EVENTQUEUE_H

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace knapweedloft::faults {

/// Runs actions in the order of their virtual times.
class EventQueue {
public:
  using Action = std::function<void()>;

  [[nodiscard]] absl::Time now() const { return m_Now; }

  void at(absl::Time When, Action Then);
  void after(absl::Duration Wait, Action Then) {
    at(m_Now + Wait, std::move(Then));
  }

  /// Runs everything up to \p End.
  void runUntil(absl::Time End);

private:
  struct Event {
    absl::Time m_When;
    std::uint64_t m_Sequence;
    std::uint32_t m_Slot;

    bool operator<(const Event &Other) const {
      if (m_When != Other.m_When)
        return m_When > Other.m_When;
      return m_Sequence > Other.m_Sequence;
    }
  };

  absl::Time m_Now = absl::UnixEpoch();
  std::uint64_t m_Sequence = 0;
  std::priority_queue<Event> m_Events;
  std::vector<Action> m_Actions;
  std::vector<std::uint32_t> m_Free;
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_EVENTQUEUE_H
