#include "mesh/TargetPath.h"

#include "app/WireConvert.h"
#include "http/MessageText.h"

#include "fmt/format.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using http::Failure;
using model::Ran;
using model::RefusalReason;

constexpr int FirstFailure = 300;
constexpr int Misdirected = 421;
/// How long past its time the target's own answer is waited for.
constexpr absl::Duration AnswerGrace = absl::Milliseconds(20);
/// A call ends with what makes it. Both times are told in whole milliseconds,
/// rounded down, and count from when they are read.
constexpr absl::Duration EarliestCallEnd = absl::Milliseconds(-3);
constexpr absl::Duration LatestCallEnd = absl::Milliseconds(8);
/// Changes of the part of new work to let in that are worth a line.
constexpr double NotedChange = 0.05;

} // namespace

TargetPath::TargetPath(Options Settings, Reporter Log, absl::Time Now)
    : m_Options(std::move(Settings)), m_Log(Log),
      m_State({.m_Service = m_Options.m_Service,
               .m_At = m_Options.m_At,
               .m_NeedsCheck = m_Options.m_IsRestart}),
      m_NotedGate(m_State.gate()), m_Gate(m_Options.m_Gate),
      m_Demand(m_Options.m_Demand),
      m_NextCheck(m_Options.m_IsRestart ? Now
                                        : Now + m_Options.m_FirstCheckAfter) {}

void TargetPath::setCatalog(CatalogPtr Catalog) {
  m_Catalog = std::move(Catalog);
}

RefusalReason TargetPath::check(const wire::ForwardT &Message) const {
  if (Message.to_incarnation != m_Options.m_Self)
    return RefusalReason::WrongIncarnation;
  if (Message.service != m_Options.m_Service || !m_State.isOpen())
    return RefusalReason::NoTarget;
  if (Message.method.empty() || Message.path.empty())
    return RefusalReason::BadRequest;
  return RefusalReason::None;
}

policy::WorkGate::Kind TargetPath::kindOf(const std::string &Route) {
  auto Next = static_cast<policy::WorkGate::Kind>(m_Kinds.size());
  return m_Kinds.emplace(Route, Next).first->second;
}

void TargetPath::onForward(link::PeerHandle From, wire::ForwardT &Message,
                           absl::Time Now) {
  ++m_Counts.m_Forwards;
  model::ForwardId Id = app::fromWire(Message.id);
  RefusalReason Reason = check(Message);
  if (Reason != RefusalReason::None) {
    refuse(From, Id, Reason, Ran::No, ClosedComeBack);
    return;
  }
  Run Next;
  Next.m_Id = Id;
  Next.m_From = From;
  Next.m_Arrived = Now;
  Next.m_Deadline = Now + absl::Microseconds(Message.remaining_us);
  Next.m_Message = std::move(Message);
  absl::Time Aim = Now + absl::Microseconds(Next.m_Message.aim_us);
  bool IsCall = Next.m_Message.rank == 0;
  policy::WorkGate::Job Job;
  Job.m_Id = ++m_LastJob;
  Job.m_Kind = kindOf(Next.m_Message.route);
  Job.m_Rank = Next.m_Message.rank;
  // A call that is late still saves the work done above it; other requests
  // lose most of their worth past their aim.
  Job.m_EndBy =
      IsCall || Aim <= Now ? Next.m_Deadline : std::min(Aim, Next.m_Deadline);
  m_Jobs.emplace(Id, Job.m_Id);
  m_Runs.emplace(Job.m_Id, std::move(Next));
  switch (m_Gate.offer(Job, Now)) {
  case policy::WorkGate::Verdict::Run:
    start(Job.m_Id, Now);
    break;
  case policy::WorkGate::Verdict::Queued:
    break;
  case policy::WorkGate::Verdict::Refused:
    refuseWaiting(Job.m_Id, RefusalReason::Overloaded,
                  m_Gate.waitOf(Job.m_Rank, Now), Now);
    break;
  }
  poll(Now);
}

std::string TargetPath::requestFor(Run &Next, absl::Time Now) const {
  const Dialect &Names = m_Options.m_Dialect;
  std::int64_t LeftMs = absl::ToInt64Milliseconds(Next.m_Deadline - Now);
  std::string Lines = std::move(Next.m_Message.lines);
  fmt::format_to(std::back_inserter(Lines), "{}: {}\r\n{}: {}\r\n",
                 Names.m_TimeLeft, LeftMs, Names.m_Instance, Next.m_Instance);
  std::vector<std::uint8_t> Body = std::move(Next.m_Message.body);
  return http::requestText(Next.m_Message.method, Next.m_Message.path, Lines,
                           app::viewOf(Body));
}

void TargetPath::start(JobId Id, absl::Time Now) {
  Run &Next = m_Runs.at(Id);
  ++m_Counts.m_Started;
  m_Counts.m_Wait.add(Now - Next.m_Arrived);
  Next.m_IsStarted = true;
  Next.m_Started = Now;
  Next.m_Instance = m_State.instance();
  http::LoopClient::Call Call;
  Call.m_To = m_Options.m_At;
  Call.m_Text = requestFor(Next, Now);
  Call.m_Tag = Next.m_Message.call_id;
  Call.m_Timeout = Next.m_Deadline - Now + AnswerGrace;
  if (!Next.m_Message.is_idempotent)
    Call.m_MaxIdleFor = m_Options.m_FreshFor;
  Next.m_Call = m_Options.m_Hooks.m_Call(
      std::move(Call), [this, Id](http::HttpResult Result, absl::Time Ended) {
        onResult(Id, std::move(Result), Ended);
      });
}

void TargetPath::onResult(JobId Id, http::HttpResult Result, absl::Time Now) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  Run Done = std::move(Found->second);
  m_Runs.erase(Found);
  m_Jobs.erase(Done.m_Id);
  bool IsTelling = Result.m_Failure == Failure::None &&
                   Result.m_Response.m_Status < FirstFailure;
  m_Gate.finish(Id, Now - Done.m_Started, IsTelling);
  if (Result.m_Failure == Failure::None)
    onResponse(Done, Result.m_Response, Now);
  else
    onBroken(Done, Result.m_Failure, Now);
  poll(Now);
}

void TargetPath::onResponse(Run &Done, http::HttpResponse &Response,
                            absl::Time Now) {
  const Dialect &Names = m_Options.m_Dialect;
  readLoad(Response);
  if (Response.m_Status == Misdirected) {
    ++m_Counts.m_TargetShed;
    onWrongInstance(Response, Now);
    refuse(Done.m_From, Done.m_Id, RefusalReason::NoTarget, Ran::No,
           ClosedComeBack);
    return;
  }
  if (http::findHeader(Response.m_Headers, Names.m_NotRun)) {
    ++m_Counts.m_TargetShed;
    refuse(Done.m_From, Done.m_Id, RefusalReason::Overloaded, Ran::No,
           ClosedComeBack, true);
    return;
  }
  bool IsSuccess = Response.m_Status < FirstFailure;
  if (IsSuccess && !http::findHeader(Response.m_Headers, Names.m_Proof)) {
    ++m_Counts.m_Broken;
    refuse(Done.m_From, Done.m_Id, RefusalReason::BadAnswer, Ran::Unknown,
           absl::ZeroDuration());
    return;
  }
  ++m_Counts.m_Answered;
  m_Counts.m_Run.add(Now - Done.m_Started);
  m_Log.routine("Ran.", {{"id", Done.m_Message.call_id},
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
  answer(Done, std::move(Answer));
}

void TargetPath::onBroken(const Run &Done, Failure Failure, absl::Time Now) {
  ++m_Counts.m_Broken;
  m_Log.notable("The target gave no whole answer.",
                {{"id", Done.m_Message.call_id},
                 {"how", http::FailureNames.nameOf(Failure)},
                 {"instance", Done.m_Instance},
                 {"took", Now - Done.m_Started}});
  if (Failure == Failure::NotSent) {
    m_State.onRefusedConnection();
    m_NextCheck = std::max(m_NextCheck, Now + m_Options.m_CheckInterval);
    noteChange(Now);
    refuse(Done.m_From, Done.m_Id, RefusalReason::NoTarget, Ran::No,
           ClosedComeBack);
    return;
  }
  RefusalReason Reason = Failure == Failure::TimedOut
                             ? RefusalReason::DeadlinePassed
                             : RefusalReason::BadAnswer;
  refuse(Done.m_From, Done.m_Id, Reason, Ran::Unknown, absl::ZeroDuration());
}

void TargetPath::answer(const Run &Done, wire::AnswerT Answer) {
  if (Done.m_IsCancelled)
    return;
  Answer.load = load();
  m_Options.m_Hooks.m_Answer(Done.m_From, std::move(Answer));
}

void TargetPath::refuse(link::PeerHandle To, const model::ForwardId &Id,
                        RefusalReason Reason, Ran DidRun,
                        absl::Duration ComeBack, bool HasArrived) {
  if (DidRun == Ran::No && !HasArrived)
    ++m_Counts.m_Refused;
  wire::AnswerT Answer;
  Answer.id = app::toWire(Id);
  Answer.refusal = static_cast<std::uint8_t>(Reason);
  Answer.ran = static_cast<std::uint8_t>(DidRun);
  // A status tells that the request has reached the target.
  Answer.status = HasArrived ? 503 : 0;
  Answer.retry_after_us =
      static_cast<std::uint64_t>(absl::ToInt64Microseconds(ComeBack));
  Answer.load = load();
  m_Options.m_Hooks.m_Answer(To, std::move(Answer));
}

void TargetPath::refuseWaiting(JobId Id, RefusalReason Reason,
                               absl::Duration ComeBack, absl::Time Now) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  Run Refused = std::move(Found->second);
  m_Runs.erase(Found);
  m_Jobs.erase(Refused.m_Id);
  m_Log.notable("Turned a request away unrun.",
                {{"id", Refused.m_Message.call_id},
                 {"reason", model::RefusalReasonNames.nameOf(Reason)},
                 {"rank", Refused.m_Message.rank},
                 {"waited", Now - Refused.m_Arrived},
                 {"left", Refused.m_Deadline - Now},
                 {"running", m_Gate.load().m_Running},
                 {"queued", m_Gate.load().m_Queued},
                 {"limit", m_Gate.load().m_Limit}});
  // What another target has refused before was counted there.
  bool IsFirst = Refused.m_Message.refusals == 0;
  if (Reason == RefusalReason::Overloaded && IsFirst)
    m_Demand.onTurnedAway(m_Gate.latencyOf(kindOf(Refused.m_Message.route)));
  refuse(Refused.m_From, Refused.m_Id, Reason, Ran::No, ComeBack);
}

void TargetPath::onCancel(const model::ForwardId &Id, absl::Time Now) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  JobId Job = Found->second;
  ++m_Counts.m_Cancelled;
  Run Cancelled = std::move(m_Runs.at(Job));
  m_Runs.erase(Job);
  m_Jobs.erase(Found);
  if (Cancelled.m_IsStarted) {
    m_Options.m_Hooks.m_CancelCall(Cancelled.m_Call);
    m_Gate.finish(Job, Now - Cancelled.m_Started, false);
  } else {
    m_Gate.cancel(Job);
  }
  poll(Now);
}

void TargetPath::onLinkLost(link::PeerHandle From, absl::Time Now) {
  std::vector<model::ForwardId> Orphans;
  for (auto &[Job, Held] : m_Runs) {
    if (Held.m_From != From)
      continue;
    // What may run once only goes on: breaking it off would undo work that
    // may count, and its caller is told that the outcome is unknown.
    if (Held.m_IsStarted && !Held.m_Message.is_idempotent)
      Held.m_IsCancelled = true;
    else
      Orphans.push_back(Held.m_Id);
  }
  for (const model::ForwardId &Id : Orphans)
    onCancel(Id, Now);
}

void TargetPath::poll(absl::Time Now) {
  if (!m_State.isOpen()) {
    m_Demand.onRunning(m_Gate.load().m_Running, Now);
    return;
  }
  std::vector<JobId> ToRun = std::move(m_ToRun);
  std::vector<policy::WorkGate::Refusal> ToRefuse = std::move(m_ToRefuse);
  ToRun.clear();
  ToRefuse.clear();
  m_Gate.poll(Now, ToRun, ToRefuse);
  for (JobId Id : ToRun)
    start(Id, Now);
  for (const policy::WorkGate::Refusal &One : ToRefuse)
    refuseWaiting(One.m_Id, RefusalReason::Overloaded, One.m_RetryAfter, Now);
  m_ToRun = std::move(ToRun);
  m_ToRefuse = std::move(ToRefuse);
  m_Demand.onRunning(m_Gate.load().m_Running, Now);
}

void TargetPath::tick(absl::Time Now) {
  m_Demand.update(m_Gate.limit(), Now);
  noteDemand();
  poll(Now);
  bool IsWanted = m_State.wantsCheck() || (!m_KnowsCold && m_State.isOpen());
  if (IsWanted && !m_IsChecking && Now >= m_NextCheck)
    beginCheck(Now);
}

void TargetPath::noteDemand() {
  double Admitted = m_Demand.admitted();
  if (std::abs(Admitted - m_NotedAdmitted) < NotedChange)
    return;
  m_NotedAdmitted = Admitted;
  policy::WorkGate::Load Load = m_Gate.load();
  m_Log.state("The part of new work to let in changed.",
              {{"part", fmt::format("{:.2f}", Admitted)},
               {"offered", fmt::format("{:.1f}", m_Demand.offered())},
               {"limit", Load.m_Limit},
               {"running", Load.m_Running},
               {"queued", Load.m_Queued},
               {"mean", Load.m_Latency}});
}

std::string TargetPath::routeRunningUntil(absl::Time End) const {
  const std::string *Route = nullptr;
  for (const auto &[Id, Held] : m_Runs) {
    absl::Duration Later = End - Held.m_Deadline;
    if (!Held.m_IsStarted || Later < EarliestCallEnd || Later > LatestCallEnd)
      continue;
    if (Route && *Route != Held.m_Message.route)
      return {};
    Route = &Held.m_Message.route;
  }
  return Route ? *Route : std::string();
}

wire::Load TargetPath::load() const {
  policy::WorkGate::Load Load = m_Gate.load();
  return {static_cast<float>(Load.m_Limit),
          Load.m_Running,
          Load.m_Queued,
          static_cast<float>(1 - m_Demand.admitted()),
          static_cast<std::uint32_t>(absl::ToInt64Microseconds(Load.m_Latency)),
          false};
}

} // namespace knapweedloft::mesh
