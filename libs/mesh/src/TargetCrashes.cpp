// The part of TargetPath that detects crashes of the target and enforces the
// quarantine of requests.
#include "mesh/TargetPath.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using model::Ran;
using model::RefusalReason;
using policy::RequestStanding;

/// The loop reads its sockets between two ticks, also after a pause of the
/// process: only then have all broken connections been seen.
constexpr unsigned MinBreakTicks = 2;
constexpr std::size_t MaxUnanswered = 512;

} // namespace

policy::RequestJudgement TargetPath::judge(const wire::ForwardT &Message,
                                           absl::Time Now) const {
  if (!m_Options.m_Hooks.m_Judge || Message.fingerprint == 0)
    return {};
  return m_Options.m_Hooks.m_Judge(Message.fingerprint, Now);
}

RefusalReason TargetPath::quarantineOf(const wire::ForwardT &Message,
                                       absl::Time Now) const {
  switch (judge(Message, Now).m_Standing) {
  case RequestStanding::Clear:
    return RefusalReason::None;
  case RequestStanding::Suspect:
  case RequestStanding::Isolated:
    return m_SuspectJob == 0 ? RefusalReason::None : RefusalReason::Overloaded;
  case RequestStanding::Probation:
    return m_SuspectJob == 0 ? RefusalReason::None : RefusalReason::Quarantined;
  case RequestStanding::Quarantined:
    break;
  }
  return RefusalReason::Quarantined;
}

void TargetPath::logQuarantine(const wire::ForwardT &Message,
                               RefusalReason Reason, absl::Time Now) const {
  if (Reason == RefusalReason::None)
    return;
  policy::RequestJudgement Found = judge(Message, Now);
  m_Log.notable(
      "Request not run for its crashes.",
      {{"id", Message.call_id},
       {"reason", model::RefusalReasonNames.nameOf(Reason)},
       {"request", fmt::format("{:016x}", Message.fingerprint)},
       {"standing", policy::RequestStandingNames.nameOf(Found.m_Standing)},
       {"crashes", Found.m_Crashes},
       {"explained", Found.m_Explained}});
}

bool TargetPath::beginSuspect(JobId Id, absl::Time Now) {
  PendingRequest &Next = m_Pending.at(Id);
  RefusalReason Reason = quarantineOf(Next.m_Message, Now);
  if (Reason == RefusalReason::None) {
    if (judge(Next.m_Message, Now).m_Standing != RequestStanding::Clear)
      m_SuspectJob = Id;
    return true;
  }
  m_Scheduler.finish(Id, absl::ZeroDuration(), false);
  refuseWaiting(Id, Reason, ClosedRetryAfter, Now);
  return false;
}

void TargetPath::onRunBroken(PendingRequest Done, absl::Time Now) {
  bool IsReported = m_Options.m_Hooks.m_OnCrash &&
                    m_State.availability() != TargetAvailability::Leaving;
  if (!m_Broken && IsReported)
    m_Broken = BrokenRuns{.m_Since = Now,
                          .m_Instance = Done.m_Instance,
                          .m_StartTimeMs = m_State.startTimeMs()};
  if (m_Broken && Done.m_Started <= m_Broken->m_Since)
    m_Broken->m_InFlight.push_back(
        {Done.m_Message.fingerprint, Done.m_Started});
  // Only a request that may be retried waits for the report of the crash.
  if (m_Broken && Done.m_Message.is_idempotent)
    m_Broken->m_Answers.push_back({.m_Request = std::move(Done)});
  else
    refuse(Done.m_From, Done.m_Id, RefusalReason::BadAnswer, Ran::Unknown,
           absl::ZeroDuration());
}

void TargetPath::judgeBrokenRuns(absl::Time Now) {
  if (!m_Broken)
    return;
  ++m_Broken->m_Ticks;
  if (m_Broken->m_Ticks < MinBreakTicks ||
      Now < m_Broken->m_Since + m_Options.m_BreakWindow)
    return;
  bool IsRestarted = m_Broken->m_StartTimeMs != 0 &&
                     m_State.startTimeMs() != 0 &&
                     m_State.startTimeMs() != m_Broken->m_StartTimeMs;
  bool IsGone = m_State.instance() != m_Broken->m_Instance || IsRestarted ||
                m_Broken->m_IsRefused;
  bool IsStillRunning =
      std::any_of(m_Pending.begin(), m_Pending.end(), [&](const auto &Entry) {
        return Entry.second.m_IsStarted &&
               Entry.second.m_Started <= m_Broken->m_Since;
      });
  if (IsGone)
    return concludeBrokenRuns(true, Now);
  if (IsStillRunning ||
      Now > m_Broken->m_Since + m_Options.m_CrashConfirmTimeout) {
    for (const Run &Broken : m_Broken->m_InFlight)
      onRunUnanswered(Broken);
    return concludeBrokenRuns(false, Now);
  }
  bool IsFirstCheck = !std::exchange(m_Broken->m_IsChecked, true);
  if (!m_IsChecking && (IsFirstCheck || Now >= m_NextCheck))
    beginHealthCheck(Now);
}

void TargetPath::onCheckOfBrokenRuns(http::Failure Failure,
                                     const std::string *Instance,
                                     absl::Time Now) {
  if (!m_Broken)
    return;
  if (Failure == http::Failure::NotSent) {
    m_Broken->m_IsRefused = true;
    concludeBrokenRuns(true, Now);
  } else if (Failure == http::Failure::None && Instance) {
    concludeBrokenRuns(*Instance != m_Broken->m_Instance, Now);
  }
}

void TargetPath::concludeBrokenRuns(bool IsCrash, absl::Time Now) {
  BrokenRuns Broken = std::move(*m_Broken);
  m_Broken.reset();
  absl::Time ReleaseAt = Now;
  if (IsCrash) {
    m_Unanswered.clear();
    ReleaseAt += m_Options.m_CrashReportTime;
    reportCrash(Broken.m_Instance, std::move(Broken.m_InFlight), Now);
  }
  if (Broken.m_IsRefused) {
    m_State.onConnectionRefused(Now);
    applyStateChange(Now);
  }
  for (HeldAnswer &Held : Broken.m_Answers) {
    Held.m_ReleaseAt = ReleaseAt;
    m_HeldAnswers.push_back(std::move(Held));
  }
  releaseAnswers(Now);
}

void TargetPath::reportCrash(const std::string &Instance,
                             std::vector<Run> InFlight, absl::Time Now) {
  ++m_Counts.m_Crashes;
  std::stable_sort(InFlight.begin(), InFlight.end(),
                   [](const Run &Left, const Run &Right) {
                     return Left.m_Started > Right.m_Started;
                   });
  std::vector<model::Fingerprint> Requests;
  Requests.reserve(InFlight.size());
  for (const Run &Broken : InFlight)
    Requests.push_back(Broken.m_Request);
  m_Options.m_Hooks.m_OnCrash(Instance, Requests, Now);
}

void TargetPath::onRunUnanswered(const Run &Ended) {
  if (m_Unanswered.size() == MaxUnanswered)
    m_Unanswered.pop_front();
  m_Unanswered.push_back(Ended);
}

void TargetPath::onTargetReplaced(const std::string &Former, absl::Time Now) {
  std::vector<Run> InFlight(m_Unanswered.begin(), m_Unanswered.end());
  m_Unanswered.clear();
  for (const auto &[Id, Request] : m_Pending)
    if (Request.m_IsStarted && Request.m_Instance == Former)
      InFlight.push_back({Request.m_Message.fingerprint, Request.m_Started});
  if (m_Broken) {
    m_Broken->m_InFlight.insert(m_Broken->m_InFlight.end(), InFlight.begin(),
                                InFlight.end());
    return;
  }
  if (InFlight.empty() || !m_Options.m_Hooks.m_OnCrash)
    return;
  reportCrash(Former, std::move(InFlight), Now);
}

void TargetPath::releaseAnswers(absl::Time Now) {
  while (!m_HeldAnswers.empty() && m_HeldAnswers.front().m_ReleaseAt <= Now) {
    PendingRequest Done = std::move(m_HeldAnswers.front().m_Request);
    m_HeldAnswers.pop_front();
    refuse(Done.m_From, Done.m_Id, RefusalReason::BadAnswer, Ran::Unknown,
           absl::ZeroDuration());
  }
}

} // namespace knapweedloft::mesh
