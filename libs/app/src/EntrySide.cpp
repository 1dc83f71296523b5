#include "app/EntrySide.h"

#include "app/Fingerprint.h"
#include "app/Problem.h"
#include "app/RequestHeaders.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

using model::Ran;
using model::RefusalReason;

/// When to come back after a refusal that says nothing better.
constexpr absl::Duration DefaultRetryAfter = absl::Seconds(1);

std::uint64_t toMicroseconds(absl::Duration Length) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, absl::ToInt64Microseconds(Length)));
}

} // namespace

EntrySide::EntrySide(Options Settings, const state::SnapshotStore &Store,
                     ContextTable &Contexts)
    : m_Options(std::move(Settings)), m_Store(Store), m_Contexts(Contexts) {}

void EntrySide::submit(EntryRequest Request, absl::Time Now) {
  PendingId Id = ++m_LastId;
  Pending Next{.m_Request = std::move(Request)};
  Next.m_Attempts = policy::AttemptBudget(m_Options.m_ExtraAttempts);
  Next.m_Reserve = policy::AttemptBudget(m_Options.m_ReservedAttempts);
  Ending Refused;
  bool IsAllowed = inherit(Next.m_Request, Next, Now, Refused);
  auto &Held = m_Pending.emplace(Id, std::move(Next)).first->second;
  if (!IsAllowed) {
    end(Id, Refused, Now);
    return;
  }
  if (Held.m_Request.m_Deadline + m_Options.m_DeadlineGrace > m_StopEnd) {
    end(Id,
        {.m_Reason = RefusalReason::Stopping,
         .m_RetryAfter = DefaultRetryAfter,
         .m_IsFinal = true},
        Now);
    return;
  }
  EntryService &Service = serviceOf(Held.m_Request.m_Route.m_Service, Now);
  Service.m_Retries.onFirstAttempt(false);
  if (auto RetryAfter = Service.m_EarlyRefusal.refuse(
          Held.m_Request.m_Route.m_Priority, Now, m_Random,
          customerIndex(Held.m_Request.m_Customer))) {
    end(Id,
        {.m_Reason = RefusalReason::Overloaded,
         .m_RetryAfter = *RetryAfter,
         .m_IsFinal = true},
        Now);
    return;
  }
  m_Options.m_Hooks.m_OnHangUp(
      Held.m_Request, [this, Id](absl::Time Then) { onHangUp(Id, Then); });
  setAlarm(Id, Held.m_Request.m_Deadline + m_Options.m_DeadlineGrace);
  dispatch(Id, Now);
}

bool EntrySide::inherit(EntryRequest &Request, Pending &Next, absl::Time Now,
                        Ending &Refused) {
  if (!Request.m_Context)
    return true;
  CallContext *Context = m_Contexts.find(*Request.m_Context);
  if (!Context) {
    Refused.m_Reason = RefusalReason::BadKey;
    return false;
  }
  Request.m_Customer = Context->m_Customer;
  Request.m_Digest = Context->m_Digest;
  Request.m_HasKey = Context->m_HasKey;
  Request.m_Route.m_Priority = Context->m_Priority;
  Request.m_Deadline = std::min(Request.m_Deadline, Context->m_Deadline);
  Next.m_Attempts = policy::AttemptBudget(0);
  Next.m_Reserve = policy::AttemptBudget(0);
  const http::HttpRequest &Http = *Request.m_Http;
  std::uint64_t Call =
      fingerprintOf("", Http.m_Method, Http.m_Path, Http.m_Body);
  if (!Context->m_Calls.observe(Call))
    return true;
  // The target repeats itself: that is a retry, and drawn from the budgets.
  EntryService &Service = serviceOf(Request.m_Route.m_Service, Now);
  if (Context->m_Attempts.tryTake() && Service.m_Retries.tryResend())
    return true;
  Refused.m_Reason = RefusalReason::RetryBudgetSpent;
  Refused.m_RetryAfter = DefaultRetryAfter;
  Refused.m_IsFinal = true;
  return false;
}

EntryService &EntrySide::serviceOf(const std::string &Name, absl::Time Now) {
  auto Found = m_Services.find(Name);
  if (Found == m_Services.end()) {
    EntryService Fresh{.m_Chooser = policy::TargetChooser(
                           {.m_Region = m_Options.m_Self.m_Region,
                            .m_DataCenter = m_Options.m_Self.m_DataCenter,
                            .m_Seed = m_Options.m_Self.m_Incarnation}),
                       .m_EarlyRefusal =
                           policy::EarlyRefusal(m_Options.m_EarlyRefusal),
                       .m_Retries = policy::RetryPolicy(m_Options.m_Retries)};
    Found = m_Services.emplace(Name, std::move(Fresh)).first;
  }
  refreshTargets(Name, Found->second, Now);
  return Found->second;
}

void EntrySide::refreshTargets(const std::string &Name, EntryService &Service,
                               absl::Time Now) {
  state::SnapshotStore::ReadGuard State(m_Store);
  if (Service.m_StateOffset == State->offset() &&
      Service.m_LivenessVersion == m_LivenessVersion)
    return;
  std::vector<policy::TargetInfo> Targets;
  for (const model::Member *Who : State->membersOf(Name)) {
    if (!m_Options.m_Hooks.m_IsAlive(*Who))
      continue;
    policy::TargetInfo Info;
    Info.m_Incarnation = Who->m_Incarnation;
    Info.m_Name = Who->m_Name;
    Info.m_Region = Who->m_Region;
    Info.m_DataCenter = Who->m_DataCenter;
    Info.m_IsWithdrawn = State->isWithdrawn(*Who);
    Targets.push_back(std::move(Info));
  }
  Service.m_Chooser.setTargets(Targets, Now);
  Service.m_StateOffset = State->offset();
  Service.m_LivenessVersion = m_LivenessVersion;
}

void EntrySide::dispatch(PendingId Id, absl::Time Now) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  Pending &Next = Found->second;
  Next.m_Stage = Stage::Choosing;
  if (isKeyWithdrawn(Next.m_Request)) {
    end(Id, {.m_Reason = RefusalReason::BadKey, .m_IsFinal = true}, Now);
    return;
  }
  EntryService &Service = serviceOf(Next.m_Request.m_Route.m_Service, Now);
  if (!Next.m_Request.m_IdempotencyKey.empty()) {
    dispatchHome(Id, Next, Service, Now);
    return;
  }
  std::vector<policy::TargetHandle> Excluded = Next.m_Excluded;
  bool IsLinkMissing = false;
  while (true) {
    auto Target = Service.m_Chooser.choose(
        {Excluded, Next.m_Request.m_Route.m_Priority}, m_Random, Now);
    if (!Target)
      break;
    if (forward(Id, Next, Service, *Target, Now))
      return;
    IsLinkMissing = true;
    Excluded.push_back(*Target);
  }
  if (IsLinkMissing) {
    park(Id, Next, Service, Now);
    return;
  }
  // Targets tried before are better than none.
  if (!Next.m_Excluded.empty()) {
    Next.m_Excluded.clear();
    dispatch(Id, Now);
    return;
  }
  end(Id,
      {.m_Reason = RefusalReason::NoTarget, .m_RetryAfter = DefaultRetryAfter},
      Now);
}

bool EntrySide::isKeyWithdrawn(const EntryRequest &Request) const {
  // The key of a target's own call was judged where its request entered.
  if (!Request.m_HasKey || Request.m_Context)
    return false;
  state::SnapshotStore::ReadGuard State(m_Store);
  const model::Key *Found = State->findKey(Request.m_Digest);
  return !Found || Found->m_Customer != Request.m_Customer;
}

bool EntrySide::forward(PendingId Id, Pending &Next, EntryService &Service,
                        policy::TargetHandle Target, absl::Time Now) {
  model::Member To;
  model::LogOffset StateOffset = 0;
  {
    state::SnapshotStore::ReadGuard State(m_Store);
    const policy::TargetInfo &Info = Service.m_Chooser.info(Target);
    const model::Member *Found = State->findMember(Info.m_Name);
    if (!Found || Found->m_Incarnation != Info.m_Incarnation)
      return false;
    To = *Found;
    StateOffset = State->offset();
  }
  policy::AttemptBudget &Budget = attemptsOf(Next);
  std::uint16_t HandedOver = Budget.left();
  std::uint64_t Sequence = m_LastSequence + 1;
  wire::ForwardT Message = makeForward(Next, To, Now);
  Message.id = {m_Options.m_Self.m_Incarnation, Sequence};
  Message.attempts_left = HandedOver;
  Message.state_offset = StateOffset;
  if (!m_Options.m_Hooks.m_Forward(To, std::move(Message))) {
    m_Options.m_Hooks.m_WantLink(To);
    return false;
  }
  m_LastSequence = Sequence;
  Budget = policy::AttemptBudget(0);
  Next.m_HandedOver = HandedOver;
  Next.m_Stage = Stage::Sent;
  Next.m_Attempt += 1;
  Next.m_To = std::move(To);
  Next.m_Target = Target;
  Next.m_Sequence = Sequence;
  Next.m_Sent = Now;
  m_BySequence.emplace(Sequence, Id);
  Service.m_Chooser.onSent(Target, Now);
  return true;
}

wire::ForwardT EntrySide::makeForward(const Pending &Next,
                                      const model::Member &To,
                                      absl::Time Now) const {
  const EntryRequest &Request = Next.m_Request;
  const http::HttpRequest &Http = *Request.m_Http;
  wire::ForwardT Message;
  Message.to_incarnation = To.m_Incarnation;
  Message.method = Http.m_Method;
  Message.path = Http.m_Path;
  Message.headers = toWire(headersForTarget(Http.m_Headers));
  Message.body = toBytes(Http.m_Body);
  Message.route = Request.m_Route.m_Name;
  Message.service = Request.m_Route.m_Service;
  Message.customer = Request.m_Customer;
  if (Request.m_HasKey)
    Message.key_digest.assign(Request.m_Digest.begin(), Request.m_Digest.end());
  Message.priority = static_cast<std::uint8_t>(Request.m_Route.m_Priority);
  Message.is_idempotent = Request.m_Route.m_IsIdempotent;
  Message.remaining_us = toMicroseconds(Request.m_Deadline - Now);
  Message.grant_epoch = Request.m_GrantEpoch;
  if (Request.m_GrantExpires < absl::InfiniteFuture())
    Message.grant_expires_us =
        static_cast<std::uint64_t>(absl::ToUnixMicros(Request.m_GrantExpires));
  Message.idempotency_key = Request.m_IdempotencyKey;
  Message.fingerprint = Request.m_Fingerprint;
  return Message;
}

policy::AttemptBudget &EntrySide::attemptsOf(Pending &Under) {
  if (!Under.m_Request.m_Context)
    return Under.m_Attempts;
  CallContext *Context = m_Contexts.find(*Under.m_Request.m_Context);
  return Context ? Context->m_Attempts : Under.m_Attempts;
}

void EntrySide::park(PendingId Id, Pending &Next, EntryService &Service,
                     absl::Time Now) {
  if (Next.m_ParkedSince == absl::InfiniteFuture())
    Next.m_ParkedSince = Now;
  absl::Time Until = Next.m_ParkedSince + m_Options.m_LinkWait;
  if (Now >= Until) {
    end(Id,
        {.m_Reason = RefusalReason::NoTarget,
         .m_RetryAfter = DefaultRetryAfter},
        Now);
    return;
  }
  Next.m_Stage = Stage::Parked;
  Service.m_Parked.push_back(Id);
  setAlarm(Id, Until);
}

void EntrySide::onPeerUp(const model::Member &Who, absl::Time Now) {
  resolveAll(Who, Now);
  auto Found = m_Services.find(Who.m_Service);
  if (Found == m_Services.end())
    return;
  std::vector<PendingId> Waiting = std::move(Found->second.m_Parked);
  Found->second.m_Parked.clear();
  for (PendingId Id : Waiting) {
    auto Held = m_Pending.find(Id);
    if (Held != m_Pending.end() && Held->second.m_Stage == Stage::Parked)
      dispatch(Id, Now);
  }
}

void EntrySide::onLivenessChange() { ++m_LivenessVersion; }

void EntrySide::onAnswer(wire::AnswerT &Answer, absl::Time Now) {
  if (Answer.id.entry() != m_Options.m_Self.m_Incarnation)
    return;
  auto Found = m_BySequence.find(Answer.id.sequence());
  if (Found == m_BySequence.end())
    return; // Late or repeated: the request has ended or moved on.
  PendingId Id = Found->second;
  m_BySequence.erase(Found);
  Pending &Held = m_Pending.at(Id);
  EntryService &Service = serviceOf(Held.m_Request.m_Route.m_Service, Now);
  auto Reason = static_cast<RefusalReason>(Answer.refusal);
  auto DidRun = static_cast<Ran>(Answer.ran);
  bool IsFailure =
      Reason == RefusalReason::None ? Answer.status >= 500 : DidRun != Ran::No;
  policy::TargetFeedback Feedback = fromWire(Answer.load);
  if (!Held.m_Fate)
    Service.m_Chooser.onAnswer(Held.m_Target, Feedback, !IsFailure,
                               Now - Held.m_Sent, Now);
  Held.m_Fate.reset();
  Service.m_EarlyRefusal.observe(Feedback.m_ShedLevel, Now,
                                 customerIndex(Held.m_Request.m_Customer),
                                 Feedback.m_Limit);
  // What did not run used no attempts.
  std::uint16_t Unused =
      DidRun == Ran::No ? Held.m_HandedOver
                        : std::min(Answer.attempts_left, Held.m_HandedOver);
  attemptsOf(Held).refund(Unused);
  if (!IsFailure && Reason == RefusalReason::None) {
    succeed(Id, Answer, Now);
    return;
  }
  Ending Refused;
  Refused.m_Reason = Reason;
  Refused.m_Ran = DidRun;
  Refused.m_RetryAfter = absl::Microseconds(Answer.retry_after_us);
  Refused.m_IsFinal = Answer.is_final;
  if (tryAgain(Id, Held, Service, Refused, Now))
    return;
  if (Reason == RefusalReason::None)
    succeed(Id, Answer, Now); // The target's own error is its answer.
  else
    end(Id, Refused, Now);
}

void EntrySide::onRefused(PendingId Id, Ending Refused, absl::Time Now) {
  Pending &Held = m_Pending.at(Id);
  EntryService &Service = serviceOf(Held.m_Request.m_Route.m_Service, Now);
  if (!tryAgain(Id, Held, Service, Refused, Now))
    end(Id, Refused, Now);
}

bool EntrySide::tryAgain(PendingId Id, Pending &Held, EntryService &Service,
                         Ending &Refused, absl::Time Now) {
  policy::AttemptBudget &Budget = attemptsOf(Held);
  policy::RetryContext Failure;
  Failure.m_Reason = Refused.m_Reason;
  Failure.m_Ran = Refused.m_Ran;
  Failure.m_IsIdempotent = Held.m_Request.m_Route.m_IsIdempotent;
  Failure.m_IsDownstreamFailure = Refused.m_IsFinal;
  Failure.m_AttemptsLeft =
      static_cast<std::uint16_t>(Budget.left() + Held.m_Reserve.left());
  Failure.m_Attempt = static_cast<int>(Held.m_Attempt);
  Failure.m_Deadline = Held.m_Request.m_Deadline;
  policy::RetryDecision Decision =
      Service.m_Retries.decide(Failure, m_Random, Now);
  Refused.m_IsFinal = Decision.m_IsFinal;
  if (!Decision.m_IsRetry || (!Budget.tryTake() && !Held.m_Reserve.tryTake()))
    return false;
  Held.m_Excluded.push_back(Held.m_Target);
  Held.m_Stage = Stage::BackingOff;
  if (Decision.m_Wait <= absl::ZeroDuration())
    dispatch(Id, Now);
  else
    setAlarm(Id, Now + Decision.m_Wait);
  return true;
}

void EntrySide::setAlarm(PendingId Id, absl::Time When) {
  m_Alarms.push({When, Id});
  m_Options.m_Hooks.m_Wake(When);
}

void EntrySide::tick(absl::Time Now) {
  while (!m_Alarms.empty() && m_Alarms.top().m_When <= Now) {
    PendingId Id = m_Alarms.top().m_Id;
    m_Alarms.pop();
    onAlarm(Id, Now);
  }
}

void EntrySide::onAlarm(PendingId Id, absl::Time Now) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  Pending &Held = Found->second;
  bool IsSent = Held.isAtTarget();
  absl::Time Deadline = Held.m_Request.m_Deadline;
  if (Now >= (IsSent ? Deadline + m_Options.m_DeadlineGrace : Deadline)) {
    cancelForward(Held, Now);
    end(Id,
        {.m_Reason = RefusalReason::DeadlinePassed,
         .m_Ran = IsSent ? Ran::Unknown : Ran::No},
        Now);
    return;
  }
  if (Held.m_Stage == Stage::Asking)
    resolve(Id, Now);
  else if (!IsSent)
    dispatch(Id, Now);
}

void EntrySide::onHangUp(PendingId Id, absl::Time Now) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  bool IsSent = Found->second.isAtTarget();
  cancelForward(Found->second, Now);
  end(Id,
      {.m_Reason = RefusalReason::Cancelled,
       .m_Ran = IsSent ? Ran::Unknown : Ran::No},
      Now);
}

void EntrySide::cancelForward(Pending &Under, absl::Time Now) {
  if (!Under.isAtTarget())
    return;
  m_BySequence.erase(Under.m_Sequence);
  if (!Under.m_Fate)
    serviceOf(Under.m_Request.m_Route.m_Service, Now)
        .m_Chooser.onLost(Under.m_Target, Now);
  wire::CancelT Cancel;
  Cancel.id = {m_Options.m_Self.m_Incarnation, Under.m_Sequence};
  m_Options.m_Hooks.m_Cancel(Under.m_To, std::move(Cancel));
}

void EntrySide::end(PendingId Id, const Ending &How, absl::Time Now) {
  auto Found = m_Pending.find(Id);
  Pending Done = std::move(Found->second);
  m_Pending.erase(Found);
  if (Done.m_Request.m_Context)
    if (CallContext *Context = m_Contexts.find(*Done.m_Request.m_Context))
      Context->m_HasFailedBelow = true;
  http::HttpResponse Response = toResponse(
      {.m_Reason = How.m_Reason,
       .m_Ran = How.m_Ran,
       .m_RetryAfter = How.m_RetryAfter,
       .m_Detail = fmt::format("after {} attempts", Done.m_Attempt)});
  report(Done, How, Response.m_Status, Now);
  Done.m_Request.m_Answer(std::move(Response));
}

void EntrySide::endAll(absl::Time Now) {
  std::vector<PendingId> Left;
  for (const auto &[Id, Held] : m_Pending)
    Left.push_back(Id);
  std::sort(Left.begin(), Left.end());
  for (PendingId Id : Left) {
    const Pending &Held = m_Pending.at(Id);
    if (Held.isAtTarget())
      m_BySequence.erase(Held.m_Sequence);
    if (Held.m_Attempt > 0)
      end(Id,
          {.m_Reason = RefusalReason::OutcomeUnknown, .m_Ran = Ran::Unknown},
          Now);
    else
      end(Id,
          {.m_Reason = RefusalReason::Stopping,
           .m_RetryAfter = DefaultRetryAfter},
          Now);
  }
}

void EntrySide::succeed(PendingId Id, wire::AnswerT &Answer, absl::Time Now) {
  auto Found = m_Pending.find(Id);
  Pending Done = std::move(Found->second);
  m_Pending.erase(Found);
  http::HttpResponse Response;
  Response.m_Status = Answer.status;
  Response.m_Headers = fromWire(std::move(Answer.headers));
  Response.m_Body = toText(Answer.body);
  report(Done, {.m_Ran = Ran::Yes}, Answer.status, Now);
  Done.m_Request.m_Answer(std::move(Response));
}

void EntrySide::report(const Pending &Done, const Ending &How, int Status,
                       absl::Time Now) {
  RequestRecord Record;
  Record.m_Route = Done.m_Request.m_Route.m_Name;
  Record.m_Customer = Done.m_Request.m_Customer;
  Record.m_Reason = How.m_Reason;
  Record.m_Ran = How.m_Ran;
  Record.m_Status = Status;
  Record.m_Attempts = Done.m_Attempt;
  Record.m_Latency = Now - Done.m_Request.m_Received;
  m_Options.m_Hooks.m_OnEnd(Record);
}

std::uint32_t EntrySide::customerIndex(const std::string &Customer) {
  auto Next = static_cast<std::uint32_t>(m_CustomerIndices.size());
  return m_CustomerIndices.emplace(Customer, Next).first->second;
}

} // namespace knapweedloft::app
