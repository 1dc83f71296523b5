#include "policy/ForwardStatusResolver.h"

#include <algorithm>

namespace knapweedloft::policy {

ForwardStatusResolver::ForwardStatusResolver(const Options &Settings,
                                             absl::Time Deadline,
                                             absl::Time Now)
    : m_Settings(Settings), m_Deadline(Deadline), m_WakeAt(Now) {
  onLinkDown(Now);
}

void ForwardStatusResolver::onLinkDown(absl::Time Now) {
  m_LinkDeadline = std::min(m_Deadline, Now + m_Settings.m_LinkWait);
  m_QueriedAt = absl::InfinitePast();
  m_LinkRequestedAt = absl::InfinitePast();
  // Running or Finished was reported on the link that went down: query again.
  if (m_Status == ForwardStatus::Running || m_Status == ForwardStatus::Finished)
    m_Status.reset();
}

ResolverStep ForwardStatusResolver::next(bool IsLinkUp, absl::Time Now) {
  if (m_Status == ForwardStatus::NotRun)
    return ResolverStep::NotRun;
  if (m_IsReplaced || m_Status == ForwardStatus::Unknown || Now >= m_Deadline)
    return ResolverStep::Unknown;
  if (!IsLinkUp) {
    if (Now >= m_LinkDeadline)
      return ResolverStep::Unknown;
    if (Now < m_LinkRequestedAt + m_Settings.m_LinkRequestInterval)
      return waitUntil(
          std::min(m_LinkDeadline,
                   m_LinkRequestedAt + m_Settings.m_LinkRequestInterval));
    m_LinkRequestedAt = Now;
    m_WakeAt = std::min(m_LinkDeadline, Now + m_Settings.m_LinkRequestInterval);
    return ResolverStep::OpenLink;
  }
  if (m_Status)
    return waitUntil(m_Deadline);
  if (Now < m_QueriedAt + m_Settings.m_QueryInterval)
    return waitUntil(m_QueriedAt + m_Settings.m_QueryInterval);
  m_QueriedAt = Now;
  m_WakeAt = std::min(m_Deadline, Now + m_Settings.m_QueryInterval);
  return ResolverStep::Ask;
}

ResolverStep ForwardStatusResolver::waitUntil(absl::Time Until) {
  m_WakeAt = std::min(Until, m_Deadline);
  return ResolverStep::Wait;
}

} // namespace knapweedloft::policy
