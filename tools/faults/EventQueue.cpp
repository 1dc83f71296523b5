#include "EventQueue.h"

#include <algorithm>

namespace knapweedloft::faults {

void EventQueue::at(absl::Time When, Action Then) {
  std::uint32_t Slot;
  if (m_Free.empty()) {
    Slot = static_cast<std::uint32_t>(m_Actions.size());
    m_Actions.push_back(std::move(Then));
  } else {
    Slot = m_Free.back();
    m_Free.pop_back();
    m_Actions[Slot] = std::move(Then);
  }
  m_Events.push({std::max(When, m_Now), m_Sequence++, Slot});
}

void EventQueue::runUntil(absl::Time End) {
  while (!m_Events.empty() && m_Events.top().m_When <= End) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_When;
    Action Then = std::move(m_Actions[Next.m_Slot]);
    m_Free.push_back(Next.m_Slot);
    Then();
  }
  m_Now = End;
}

} // namespace knapweedloft::faults
