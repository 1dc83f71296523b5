#include "mesh/TargetNotices.h"

#include <algorithm>

namespace knapweedloft::mesh {
namespace {

/// A notice of a target that has not answered for this long is dropped, since
/// daemons that are gone for good would fill the table.
constexpr absl::Duration Retention = absl::Hours(24);

} // namespace

bool TargetNotices::onAnswer(const model::Member &Daemon,
                             const wire::AnswerT &Answer, absl::Time Now) {
  if (Answer.notice) {
    absl::erase_if(m_ByDaemon, [Now](const auto &Entry) {
      return Now - Entry.second.m_At > Retention;
    });
    TargetNotice &Known = m_ByDaemon[Daemon.m_Name];
    bool WasLeaving =
        Known.m_IsLeaving && Known.m_Instance == Answer.notice->instance;
    Known = {.m_Daemon = Daemon.m_Incarnation,
             .m_Instance = Answer.notice->instance,
             .m_StartTimeMs = Answer.notice->start_time_ms,
             .m_RateLimit = Answer.notice->rate_limit,
             .m_IsLeaving = Answer.notice->is_leaving,
             .m_At = Now};
    return Known.m_IsLeaving && !WasLeaving;
  }
  // A refusal by the daemon alone says nothing of its target.
  bool IsFromTarget = Answer.refusal == 0 || Answer.status != 0;
  if (IsFromTarget)
    m_ByDaemon.erase(Daemon.m_Name);
  return false;
}

bool TargetNotices::isLeaving(const PeerTarget &Target) const {
  const TargetNotice *Known = find(Target);
  return Known && Known->m_IsLeaving;
}

const TargetNotice *TargetNotices::find(const PeerTarget &Target) const {
  auto Found = m_ByDaemon.find(Target.m_Member.m_Name);
  if (Found == m_ByDaemon.end())
    return nullptr;
  const TargetNotice &Known = Found->second;
  bool IsRestarted = Target.m_StartTimeMs != 0 && Known.m_StartTimeMs != 0 &&
                     Target.m_StartTimeMs != Known.m_StartTimeMs;
  bool IsReplaced =
      !Target.m_Instance.empty() && Target.m_Instance != Known.m_Instance;
  // The daemon that said so now says that the target is open: it knows that an
  // instance whose start it did not know then has started again.
  bool IsOpenAgain = Target.m_IsOpen && Target.m_StartTimeMs != 0 &&
                     Known.m_StartTimeMs == 0 &&
                     Target.m_Member.m_Incarnation == Known.m_Daemon;
  return IsReplaced || IsRestarted || IsOpenAgain ? nullptr : &Known;
}

std::unique_ptr<wire::TargetNoticeT>
TargetNotices::messageFor(const PeerTarget &Target, absl::Time Now) const {
  const TargetNotice *Known = find(Target);
  if (!Known)
    return nullptr;
  auto Message = std::make_unique<wire::TargetNoticeT>();
  Message->instance = Known->m_Instance;
  Message->start_time_ms = Known->m_StartTimeMs;
  Message->rate_limit = Known->m_RateLimit;
  Message->is_leaving = Known->m_IsLeaving;
  Message->age_us = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, absl::ToInt64Microseconds(Now - Known->m_At)));
  return Message;
}

} // namespace knapweedloft::mesh
