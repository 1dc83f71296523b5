#include "policy/FateResolver.h"

#include <algorithm>

namespace knapweedloft::policy {

FateResolver::FateResolver(const Options &Settings, absl::Time Deadline,
                           absl::Time Now)
    : m_Settings(Settings), m_Deadline(Deadline), m_WakeAt(Now) {
  onLinkDown(Now);
}

void FateResolver::onLinkDown(absl::Time Now) {
  m_LinkBy = std::min(m_Deadline, Now + m_Settings.m_LinkWait);
  m_Asked = absl::InfinitePast();
  m_Opened = absl::InfinitePast();
  // That it runs was heard on the link that is gone: ask again.
  if (m_Fate == ForwardFate::Running || m_Fate == ForwardFate::Finished)
    m_Fate.reset();
}

FateStep FateResolver::next(bool IsLinkUp, absl::Time Now) {
  if (m_Fate == ForwardFate::NotRun)
    return FateStep::NotRun;
  if (m_IsReplaced || m_Fate == ForwardFate::Unknown || Now >= m_Deadline)
    return FateStep::Unknown;
  if (!IsLinkUp) {
    if (Now >= m_LinkBy)
      return FateStep::Unknown;
    if (Now < m_Opened + m_Settings.m_OpenAgain)
      return waitUntil(std::min(m_LinkBy, m_Opened + m_Settings.m_OpenAgain));
    m_Opened = Now;
    m_WakeAt = std::min(m_LinkBy, Now + m_Settings.m_OpenAgain);
    return FateStep::OpenLink;
  }
  if (m_Fate)
    return waitUntil(m_Deadline);
  if (Now < m_Asked + m_Settings.m_AskAgain)
    return waitUntil(m_Asked + m_Settings.m_AskAgain);
  m_Asked = Now;
  m_WakeAt = std::min(m_Deadline, Now + m_Settings.m_AskAgain);
  return FateStep::Ask;
}

FateStep FateResolver::waitUntil(absl::Time When) {
  m_WakeAt = std::min(When, m_Deadline);
  return FateStep::Wait;
}

} // namespace knapweedloft::policy
