#include "mesh/TargetPath.h"

#include "app/WireConvert.h"
#include "http/MessageText.h"

#include "fmt/format.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using http::Failure;
using model::Ran;
using model::RefusalReason;

constexpr int FirstFailureStatus = 300;
constexpr int MisdirectedStatus = 421;
/// How long after the deadline the target's own answer is still awaited.
constexpr absl::Duration AnswerGrace = absl::Milliseconds(20);
/// Range of the difference between the deadline of a call that a target makes
/// and that of the request it runs. A call has the deadline of the request that
/// makes it. Both remaining times are passed in whole milliseconds, rounded
/// down, and count from when they are read.
constexpr absl::Duration MinDeadlineSkew = absl::Milliseconds(-3);
constexpr absl::Duration MaxDeadlineSkew = absl::Milliseconds(8);
/// Smallest change of the admitted share that is logged.
constexpr double LoggedShareChange = 0.05;

} // namespace

TargetPath::TargetPath(Options Settings, ComponentLog Log, absl::Time Now)
    : m_Options(std::move(Settings)), m_Log(Log),
      m_State({.m_Service = m_Options.m_Service,
               .m_At = m_Options.m_At,
               .m_NeedsCheck = m_Options.m_IsRestart,
               .m_ProcessStart = m_Options.m_ProcessStart}),
      m_AppliedAvailability(m_State.availability()),
      m_Scheduler(m_Options.m_Scheduler),
      m_ShareController(m_Options.m_ShareController), m_Reports(Log),
      m_NextCheck(m_Options.m_IsRestart ? Now
                                        : Now + m_Options.m_FirstCheckDelay),
      m_LastEvent(Now) {}

void TargetPath::setCatalog(CatalogPtr Catalog, absl::Time Now) {
  m_Catalog = std::move(Catalog);
  applyColdTime("configuration", Now);
  applyStateChange(Now);
}

RefusalReason TargetPath::validate(const wire::ForwardT &Message) const {
  if (Message.to_incarnation != m_Options.m_Self)
    return RefusalReason::WrongIncarnation;
  if (Message.service != m_Options.m_Service || !m_State.isOpen())
    return RefusalReason::NoTarget;
  if (Message.method.empty() || Message.path.empty())
    return RefusalReason::BadRequest;
  return RefusalReason::None;
}

policy::SlotScheduler::JobClass TargetPath::classOf(const std::string &Route) {
  auto Next = static_cast<policy::SlotScheduler::JobClass>(m_Classes.size());
  return m_Classes.emplace(Route, Next).first->second;
}

void TargetPath::onForward(link::PeerHandle From, wire::ForwardT &Message,
                           absl::Time Now, absl::Duration Age) {
  notePause(Now);
  ++m_Counts.m_Forwards;
  model::ForwardId Id = app::fromWire(Message.id);
  adoptNotice(Message, Now);
  RefusalReason Reason = validate(Message);
  absl::Duration Left = absl::Microseconds(Message.remaining_us) - Age;
  bool IsLate =
      Left <= absl::ZeroDuration() || Age >= m_Options.m_MaxForwardAge;
  if (Reason == RefusalReason::None && IsLate)
    Reason = RefusalReason::DeadlinePassed;
  if (Reason == RefusalReason::None) {
    Reason = quarantineOf(Message, Now);
    logQuarantine(Message, Reason, Now);
  }
  if (Reason == RefusalReason::None && m_Options.m_Rollout &&
      !m_Options.m_Rollout->tryAccept(m_LastJob + 1, Now))
    Reason = RefusalReason::NoTarget;
  if (Reason != RefusalReason::None) {
    refuse(From, Id, Reason, Ran::No, ClosedRetryAfter);
    return;
  }
  PendingRequest Next;
  Next.m_Id = Id;
  Next.m_From = From;
  Next.m_Arrived = Now;
  Next.m_Deadline = Now + Left;
  Next.m_Message = std::move(Message);
  absl::Time ObjectiveEnd =
      Now + absl::Microseconds(Next.m_Message.aim_us) - Age;
  bool IsCall = Next.m_Message.rank == 0;
  policy::SlotScheduler::Job Job;
  Job.m_Id = ++m_LastJob;
  Job.m_Class = classOf(Next.m_Message.route);
  Job.m_Rank = Next.m_Message.rank;
  // A late call still saves the work of the requests above it in the call tree;
  // other requests lose most of their value past their latency objective.
  Job.m_CompleteBy = IsCall || ObjectiveEnd <= Now
                         ? Next.m_Deadline
                         : std::min(ObjectiveEnd, Next.m_Deadline);
  // Of the calls, those whose request began first: what was done for it is lost
  // unless all of its calls are answered.
  if (IsCall)
    Job.m_RunBefore = ObjectiveEnd;
  m_JobByForward.emplace(Id, Job.m_Id);
  m_Pending.emplace(Job.m_Id, std::move(Next));
  switch (m_Scheduler.offer(Job, Now)) {
  case policy::SlotScheduler::Verdict::Run:
    start(Job.m_Id, Now);
    break;
  case policy::SlotScheduler::Verdict::Queued:
    break;
  case policy::SlotScheduler::Verdict::Refused:
    refuseWaiting(Job.m_Id, RefusalReason::Overloaded,
                  m_Scheduler.expectedWait(Job.m_Rank, Now), Now);
    break;
  }
  poll(Now);
}

std::string TargetPath::requestFor(PendingRequest &Next, absl::Time Now) const {
  const HeaderNames &Names = m_Options.m_HeaderNames;
  std::int64_t RemainingMs = absl::ToInt64Milliseconds(Next.m_Deadline - Now);
  std::string Lines = std::move(Next.m_Message.lines);
  fmt::format_to(std::back_inserter(Lines), "{}: {}\r\n{}: {}\r\n",
                 Names.m_RemainingTime, RemainingMs, Names.m_Instance,
                 Next.m_Instance);
  std::vector<std::uint8_t> Body = std::move(Next.m_Message.body);
  return http::requestText(Next.m_Message.method, Next.m_Message.path, Lines,
                           app::viewOf(Body));
}

void TargetPath::start(JobId Id, absl::Time Now) {
  if (!beginSuspect(Id, Now))
    return;
  PendingRequest &Next = m_Pending.at(Id);
  ++m_Counts.m_Started;
  m_ColdStarts.onStart(Now);
  if (m_RateLimit.m_PerSecond > 0)
    ++m_Counts.m_PacedStarts;
  m_Counts.m_Wait.add(Now - Next.m_Arrived);
  Next.m_IsStarted = true;
  Next.m_Started = Now;
  Next.m_StartClock = m_Reports.clock(Now);
  Next.m_Instance = m_State.instance();
  if (m_Options.m_Rollout)
    m_Options.m_Rollout->onStarted(Id, Next.m_Message.route, Now);
  http::LoopClient::Call Call;
  Call.m_To = m_Options.m_At;
  Call.m_Text = requestFor(Next, Now);
  Call.m_Tag = Next.m_Message.call_id;
  Call.m_Timeout = Next.m_Deadline - Now + AnswerGrace;
  if (!Next.m_Message.is_idempotent)
    Call.m_MaxIdleFor = m_Options.m_MaxReuseIdleTime;
  Next.m_Call = m_Options.m_Hooks.m_Call(
      std::move(Call), [this, Id](http::HttpResult Result, absl::Time Ended) {
        onResult(Id, std::move(Result), Ended);
      });
}

void TargetPath::onResult(JobId Id, http::HttpResult Result, absl::Time Now) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  PendingRequest Done = std::move(Found->second);
  m_Pending.erase(Found);
  m_JobByForward.erase(Done.m_Id);
  if (m_Options.m_Rollout)
    m_Options.m_Rollout->onResult(Id, Result, Now);
  bool IsRepresentative = Result.m_Failure == Failure::None &&
                          Result.m_Response.m_Status < FirstFailureStatus;
  if (Result.m_Failure == Failure::None)
    applyReportedLoad(Result.m_Response, Now);
  absl::Duration Took = Now - Done.m_Started;
  if (IsRepresentative && Done.m_Instance == m_State.instance())
    Took = m_Reports.onRun(classOf(Done.m_Message.route), Took,
                           Done.m_StartClock, Now);
  m_Scheduler.finish(Id, Took, IsRepresentative);
  if (Id == m_SuspectJob)
    m_SuspectJob = 0;
  if (Result.m_Failure == Failure::None)
    onResponse(Done, Result.m_Response, Now);
  else
    onIncompleteAnswer(std::move(Done), Result, Now);
  poll(Now);
}

void TargetPath::onResponse(PendingRequest &Done, http::HttpResponse &Response,
                            absl::Time Now) {
  const HeaderNames &Names = m_Options.m_HeaderNames;
  if (Response.m_Status == MisdirectedStatus) {
    ++m_Counts.m_TargetShed;
    onWrongInstance(Response, Now);
    refuse(Done.m_From, Done.m_Id, RefusalReason::NoTarget, Ran::No,
           ClosedRetryAfter);
    return;
  }
  m_Unanswered.clear();
  bool IsSuccess = Response.m_Status < FirstFailureStatus;
  bool IsProven =
      http::findHeader(Response.m_Headers, Names.m_OriginProof) != nullptr;
  if (!IsSuccess || IsProven) {
    applyNamedLimit(Response, Done, Now);
    applyNamedLeave(Response, Done.m_Instance, Now);
  }
  if (http::findHeader(Response.m_Headers, Names.m_NotRun)) {
    ++m_Counts.m_TargetShed;
    refuse(Done.m_From, Done.m_Id, RefusalReason::Overloaded, Ran::No,
           ClosedRetryAfter, true);
    return;
  }
  if (IsSuccess && !IsProven) {
    ++m_Counts.m_Incomplete;
    refuse(Done.m_From, Done.m_Id, RefusalReason::BadAnswer, Ran::Unknown,
           absl::ZeroDuration());
    return;
  }
  ++m_Counts.m_Answered;
  m_Counts.m_Run.add(Now - Done.m_Started);
  if (m_Options.m_Hooks.m_OnCompleted)
    m_Options.m_Hooks.m_OnCompleted(Done.m_Message.fingerprint, Now);
  m_Log.routine("The target answered.",
                {{"id", Done.m_Message.call_id},
                 {"status", Response.m_Status},
                 {"instance", Done.m_Instance},
                 {"rank", Done.m_Message.rank},
                 {"waited", Done.m_Started - Done.m_Arrived},
                 {"took", Now - Done.m_Started}});
  wire::AnswerT Answer;
  Answer.id = app::toWire(Done.m_Id);
  Answer.ran = static_cast<std::uint8_t>(Ran::Yes);
  Answer.status = static_cast<std::uint16_t>(Response.m_Status);
  Answer.lines = http::headerLines(Response.m_Headers);
  Answer.body = app::toBytes(Response.m_Body);
  Answer.held_us = static_cast<std::uint64_t>(
      absl::ToInt64Microseconds(Now - Done.m_Arrived));
  answer(Done, std::move(Answer));
}

void TargetPath::onIncompleteAnswer(PendingRequest Done,
                                    const http::HttpResult &Result,
                                    absl::Time Now) {
  Failure Failure = Result.m_Failure;
  ++m_Counts.m_Incomplete;
  if (Result.m_Fault != http::AnswerFault::None)
    ++m_Counts.m_Malformed;
  m_Log.notable(
      "The target gave no complete answer.",
      {{"id", Done.m_Message.call_id},
       {"how", http::FailureNames.nameOf(Failure)},
       {"fault", http::AnswerFaultNames.nameOf(Result.m_Fault)},
       {"instance", Done.m_Instance},
       {"request", fmt::format("{:016x}", Done.m_Message.fingerprint)},
       {"took", Now - Done.m_Started}});
  if (Failure == Failure::NotSent) {
    // Peers must not hear that the target is down before they hear of a crash.
    if (m_Broken)
      m_Broken->m_IsRefused = true;
    else
      m_State.onConnectionRefused(Now);
    m_NextCheck = std::max(m_NextCheck, Now + m_Options.m_CheckInterval);
    applyStateChange(Now);
    refuse(Done.m_From, Done.m_Id, RefusalReason::NoTarget, Ran::No,
           ClosedRetryAfter);
    return;
  }
  if (Failure == Failure::Cut) {
    onRunBroken(std::move(Done), Now);
    return;
  }
  if (Failure == Failure::TimedOut)
    onRunUnanswered({Done.m_Message.fingerprint, Done.m_Started});
  RefusalReason Reason = Failure == Failure::TimedOut
                             ? RefusalReason::DeadlinePassed
                             : RefusalReason::BadAnswer;
  refuse(Done.m_From, Done.m_Id, Reason, Ran::Unknown, absl::ZeroDuration());
}

void TargetPath::answer(const PendingRequest &Done, wire::AnswerT Answer) {
  if (Done.m_IsCancelled)
    return;
  Answer.load = load();
  Answer.pace = m_PacePercent;
  Answer.notice = notice();
  m_Options.m_Hooks.m_Answer(Done.m_From, std::move(Answer));
}

void TargetPath::refuse(link::PeerHandle To, const model::ForwardId &Id,
                        RefusalReason Reason, Ran DidRun,
                        absl::Duration RetryAfter, bool HasArrived) {
  if (DidRun == Ran::No && !HasArrived)
    ++m_Counts.m_Refused;
  wire::AnswerT Answer;
  Answer.id = app::toWire(Id);
  Answer.refusal = static_cast<std::uint8_t>(Reason);
  Answer.ran = static_cast<std::uint8_t>(DidRun);
  // A status other than 0 says that the request has reached the target.
  Answer.status = HasArrived ? 503 : 0;
  Answer.retry_after_us =
      static_cast<std::uint64_t>(absl::ToInt64Microseconds(RetryAfter));
  Answer.load = load();
  Answer.pace = m_PacePercent;
  Answer.notice = notice();
  m_Options.m_Hooks.m_Answer(To, std::move(Answer));
}

void TargetPath::refuseWaiting(JobId Id, RefusalReason Reason,
                               absl::Duration RetryAfter, absl::Time Now) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  PendingRequest Refused = std::move(Found->second);
  m_Pending.erase(Found);
  m_JobByForward.erase(Refused.m_Id);
  if (m_Options.m_Rollout)
    m_Options.m_Rollout->putBack(Id);
  m_Log.notable(
      "Request refused before it was run.",
      {{"id", Refused.m_Message.call_id},
       {"reason", model::RefusalReasonNames.nameOf(Reason)},
       {"rank", Refused.m_Message.rank},
       {"waited", Now - Refused.m_Arrived},
       {"left", Refused.m_Deadline - Now},
       {"running", m_Scheduler.load().m_Running},
       {"queued", m_Scheduler.load().m_Queued},
       {"limit", m_Scheduler.load().m_Limit},
       {"rate_limit", m_RateLimit.m_PerSecond},
       {"rate_limit_age", m_RateLimit.m_PerSecond > 0 ? Now - m_RateLimit.m_At
                                                      : absl::ZeroDuration()},
       {"rate_limit_source", m_RateLimit.m_Source}});
  // A request that another target refused before was counted there.
  bool IsFirst = Refused.m_Message.refusals == 0;
  if (Reason == RefusalReason::Overloaded && IsFirst)
    m_ShareController.onRejected(
        m_Scheduler.expectedLatency(classOf(Refused.m_Message.route)));
  refuse(Refused.m_From, Refused.m_Id, Reason, Ran::No, RetryAfter);
}

void TargetPath::onCancel(const model::ForwardId &Id, absl::Time Now) {
  auto Found = m_JobByForward.find(Id);
  if (Found == m_JobByForward.end())
    return;
  JobId Job = Found->second;
  ++m_Counts.m_Cancelled;
  PendingRequest Cancelled = std::move(m_Pending.at(Job));
  m_Pending.erase(Job);
  m_JobByForward.erase(Found);
  if (Job == m_SuspectJob)
    m_SuspectJob = 0;
  if (m_Options.m_Rollout)
    m_Options.m_Rollout->onCancelled(Job);
  if (Cancelled.m_IsStarted) {
    onRunUnanswered({Cancelled.m_Message.fingerprint, Cancelled.m_Started});
    m_Options.m_Hooks.m_CancelCall(Cancelled.m_Call);
    m_Scheduler.finish(Job, Now - Cancelled.m_Started, false);
  } else {
    m_Scheduler.cancel(Job);
  }
  poll(Now);
}

void TargetPath::onLinkLost(link::PeerHandle From, absl::Time Now) {
  std::vector<model::ForwardId> ToCancel;
  for (auto &[Job, Request] : m_Pending) {
    if (Request.m_From != From)
      continue;
    // A request that is not idempotent goes on: aborting it could undo work
    // that takes effect, and its caller gets the outcome `unknown`.
    if (Request.m_IsStarted && !Request.m_Message.is_idempotent)
      Request.m_IsCancelled = true;
    else
      ToCancel.push_back(Request.m_Id);
  }
  std::sort(ToCancel.begin(), ToCancel.end(),
            [](const model::ForwardId &Left, const model::ForwardId &Right) {
              return std::tie(Left.m_Entry, Left.m_Sequence) <
                     std::tie(Right.m_Entry, Right.m_Sequence);
            });
  for (const model::ForwardId &Id : ToCancel)
    onCancel(Id, Now);
}

void TargetPath::poll(absl::Time Now) {
  // After a pause the loop reads its sockets before it ticks.
  notePause(Now);
  if (!m_State.isOpen()) {
    m_ShareController.onRunning(m_Scheduler.load().m_Running, Now);
    return;
  }
  std::vector<JobId> ToRun = std::move(m_ToRun);
  std::vector<policy::SlotScheduler::Refusal> ToRefuse = std::move(m_ToRefuse);
  ToRun.clear();
  ToRefuse.clear();
  m_Scheduler.poll(Now, ToRun, ToRefuse);
  for (JobId Id : ToRun)
    start(Id, Now);
  for (const policy::SlotScheduler::Refusal &Refusal : ToRefuse)
    refuseWaiting(Refusal.m_Id, RefusalReason::Overloaded, Refusal.m_RetryAfter,
                  Now);
  m_ToRun = std::move(ToRun);
  m_ToRefuse = std::move(ToRefuse);
  m_ShareController.onRunning(m_Scheduler.load().m_Running, Now);
}

void TargetPath::tick(absl::Time Now) {
  notePause(Now);
  if (m_State.availability() == TargetAvailability::AwaitsRate ||
      m_ColdTime.isSuspected()) {
    applyColdTime("its end", Now);
    applyStateChange(Now);
  }
  applyRollout(Now);
  updatePace(Now);
  m_IsRamping = m_Scheduler.isCold(Now);
  m_ShareController.update(m_Scheduler.usableSlots(), Now);
  logAdmittedShare();
  logColdStarts(Now);
  poll(Now);
  judgeBrokenRuns(Now);
  releaseAnswers(Now);
  bool IsCheckNeeded =
      m_State.needsCheck() || (m_ColdTime.isSuspected() && m_State.isOpen());
  if (IsCheckNeeded && !m_IsChecking && Now >= m_NextCheck)
    beginHealthCheck(Now);
}

void TargetPath::logAdmittedShare() {
  double Admitted = m_ShareController.admittedShare();
  if (std::abs(Admitted - m_LoggedAdmittedShare) < LoggedShareChange)
    return;
  m_LoggedAdmittedShare = Admitted;
  policy::SlotScheduler::Load Load = m_Scheduler.load();
  m_Log.state(
      "The admitted share changed.",
      {{"part", fmt::format("{:.2f}", Admitted)},
       {"offered", fmt::format("{:.1f}", m_ShareController.offeredSlots())},
       {"limit", Load.m_Limit},
       {"running", Load.m_Running},
       {"queued", Load.m_Queued},
       {"mean", Load.m_Latency}});
}

bool TargetPath::isRunningUntil(const PendingRequest &Request, absl::Time End) {
  absl::Duration Skew = End - Request.m_Deadline;
  return Request.m_IsStarted && Skew >= MinDeadlineSkew &&
         Skew <= MaxDeadlineSkew;
}

bool TargetPath::hasCrossedUntil(absl::Time End) const {
  return std::any_of(m_Pending.begin(), m_Pending.end(), [&](const auto &One) {
    return One.second.m_Message.has_crossed && isRunningUntil(One.second, End);
  });
}

std::string TargetPath::routeRunningUntil(absl::Time End) const {
  const std::string *Route = nullptr;
  for (const auto &[Id, Request] : m_Pending) {
    if (!isRunningUntil(Request, End))
      continue;
    if (Route && *Route != Request.m_Message.route)
      return {};
    Route = &Request.m_Message.route;
  }
  return Route ? *Route : std::string();
}

wire::Load TargetPath::load() const {
  policy::SlotScheduler::Load Load = m_Scheduler.load();
  // A target that takes less than one request at a time counts as busy, so that
  // it gets only what the others cannot take.
  std::uint32_t Running =
      std::max(Load.m_Running, Load.m_UsableSlots < 1 ? 1U : 0U);
  return {static_cast<float>(Load.m_UsableSlots),
          Running,
          Load.m_Queued,
          static_cast<float>(1 - m_ShareController.admittedShare()),
          static_cast<std::uint32_t>(absl::ToInt64Microseconds(Load.m_Latency)),
          m_IsRamping};
}

} // namespace knapweedloft::mesh
