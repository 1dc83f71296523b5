#include "ProbeHelper.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::app {

void ProbeHelper::onAsk(const std::string &From,
                        const link::wire::ProbeAskT &Ask, absl::Time Now) {
  Pending Asked{From, Ask, Now + m_Settings.m_HelpWithin};
  auto Heard = m_HeardAt.find(Ask.name);
  if (Heard != m_HeardAt.end() &&
      Now < Heard->second + m_Settings.m_HeardWithin)
    return answer(Asked, true);
  if (m_Pending.size() >= m_Settings.m_MaxPending)
    return;
  m_Pending.push_back(std::move(Asked));
  m_Hooks.m_Connect(Ask.name);
}

void ProbeHelper::onReceived(const std::string &Name, absl::Time Now) {
  m_HeardAt[Name] = Now;
  for (std::size_t Index = 0; Index < m_Pending.size();) {
    if (m_Pending[Index].m_Ask.name != Name) {
      ++Index;
      continue;
    }
    answer(m_Pending[Index], true);
    m_Pending.erase(m_Pending.begin() + static_cast<std::ptrdiff_t>(Index));
  }
}

void ProbeHelper::tick(absl::Time Now) {
  auto IsOver = [&](const Pending &Asked) { return Asked.m_Until <= Now; };
  for (const Pending &Asked : m_Pending)
    if (IsOver(Asked))
      answer(Asked, false);
  m_Pending.erase(std::remove_if(m_Pending.begin(), m_Pending.end(), IsOver),
                  m_Pending.end());
}

void ProbeHelper::answer(const Pending &Done, bool IsAlive) {
  link::wire::ProbeAnswerT Answer;
  Answer.name = Done.m_Ask.name;
  Answer.incarnation = Done.m_Ask.incarnation;
  Answer.sequence = Done.m_Ask.sequence;
  Answer.is_alive = IsAlive;
  m_Hooks.m_Answer(Done.m_From, std::move(Answer));
}

} // namespace knapweedloft::app
