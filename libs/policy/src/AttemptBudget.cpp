#include "policy/AttemptBudget.h"

namespace knapweedloft::policy {

bool AttemptBudget::tryTake() {
  if (m_Left == 0)
    return false;
  --m_Left;
  return true;
}

std::uint16_t AttemptBudget::takeForwardShare() {
  auto Share = static_cast<std::uint16_t>(m_Left / 2);
  m_Left = static_cast<std::uint16_t>(m_Left - Share);
  return Share;
}

void AttemptBudget::refund(std::uint16_t Retries) {
  m_Left = static_cast<std::uint16_t>(m_Left + Retries);
}

} // namespace knapweedloft::policy
