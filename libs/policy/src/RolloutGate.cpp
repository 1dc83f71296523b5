#include "policy/RolloutGate.h"

#include <algorithm>
#include <tuple>

namespace knapweedloft::policy {

void RolloutGate::setOrder(bool IsNewVersion) {
  m_HasOrder = true;
  m_IsNewVersion = IsNewVersion;
  m_Command = {};
  m_CommandSent = absl::InfinitePast();
  m_Accepted = 0;
}

void RolloutGate::clearOrder() {
  setOrder(false);
  m_HasOrder = false;
}

bool RolloutGate::onCommand(const Command &Next, absl::Time Now) {
  if (!m_HasOrder)
    return false;
  bool IsFirst = m_CommandSent == absl::InfinitePast();
  if (!IsFirst && std::tie(Next.m_Epoch, Next.m_Sequence) <=
                      std::tie(m_Command.m_Epoch, m_Command.m_Sequence))
    return false;
  m_Command = Next;
  m_CommandSent = Now - std::max(Next.m_Age, absl::ZeroDuration());
  return true;
}

bool RolloutGate::tryAccept(absl::Time Now) {
  if (!isOpen(Now))
    return false;
  bool IsLimited = m_HasOrder && m_IsNewVersion && !isFinal(m_Command.m_Phase);
  if (IsLimited && m_Accepted >= m_Command.m_Allowance)
    return false;
  if (m_HasOrder)
    ++m_Accepted;
  return true;
}

void RolloutGate::putBack() {
  if (m_Accepted > 0)
    --m_Accepted;
}

bool RolloutGate::isOpen(absl::Time Now) const {
  if (!m_HasOrder)
    return true;
  if (m_IsNewVersion)
    return exposure(Now) > 0;
  return exposure(Now) > 0 || m_Command.m_Phase == RolloutPhase::Trial;
}

double RolloutGate::exposure(absl::Time Now) const {
  if (!m_HasOrder)
    return 1;
  double Share = 0;
  if (m_Command.m_Phase == RolloutPhase::Completed)
    Share = 1;
  else if (!isFinal(m_Command.m_Phase) && isFresh(Now))
    Share = std::clamp(m_Command.m_Share, 0.0, 1.0);
  return m_IsNewVersion ? Share : 1 - Share;
}

bool RolloutGate::isFresh(absl::Time Now) const {
  return m_Command.m_Phase != RolloutPhase::None &&
         Now - m_CommandSent <= m_Settings.m_CommandLifetime;
}

} // namespace knapweedloft::policy
