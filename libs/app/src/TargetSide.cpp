#include "app/TargetSide.h"

#include "app/BaseUrl.h"
#include "app/RequestHeaders.h"
#include "policy/GrantLifetime.h"
#include "policy/RateShard.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

using model::Ran;
using model::RefusalReason;

/// When to come back to a daemon that cannot take a forward now.
constexpr absl::Duration ComeBackAfter = absl::Seconds(1);

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr int FirstServerError = 500;

policy::RunOutcome outcomeOfStatus(int Status) {
  if (Status == TooManyRequests || Status == ServiceUnavailable)
    return policy::RunOutcome::Shed;
  return Status >= FirstServerError ? policy::RunOutcome::Error
                                    : policy::RunOutcome::Success;
}

policy::RunOutcome outcomeOf(const http::HttpResult &Result) {
  switch (Result.m_Failure) {
  case http::Failure::None:
    return outcomeOfStatus(Result.m_Response.m_Status);
  case http::Failure::TooLarge:
    return policy::RunOutcome::Error;
  case http::Failure::TimedOut:
    return policy::RunOutcome::Timeout;
  case http::Failure::Cancelled:
    return policy::RunOutcome::Cancelled;
  case http::Failure::NotSent:
  case http::Failure::Cut:
    break;
  }
  return policy::RunOutcome::ConnectionLost;
}

wire::Load wireOf(const policy::AdmissionLoad &Load) {
  return {Load.m_Limit,
          Load.m_InFlight,
          Load.m_Queued,
          Load.m_ShedLevel,
          static_cast<std::uint32_t>(absl::ToInt64Microseconds(Load.m_Latency)),
          Load.m_IsRamping};
}

RefusalReason reasonOf(http::Failure Failure) {
  switch (Failure) {
  case http::Failure::NotSent:
    return RefusalReason::NoTarget;
  case http::Failure::TimedOut:
    return RefusalReason::DeadlinePassed;
  case http::Failure::Cancelled:
    return RefusalReason::Cancelled;
  default:
    return RefusalReason::BadAnswer;
  }
}

Ran ranOf(http::Failure Failure) {
  switch (Failure) {
  case http::Failure::None:
  case http::Failure::TooLarge:
    return Ran::Yes;
  case http::Failure::NotSent:
    return Ran::No;
  default:
    return Ran::Unknown;
  }
}

} // namespace

TargetSide::TargetSide(Options Settings, ContextTable &Contexts, absl::Time Now)
    : m_Options(std::move(Settings)), m_Contexts(Contexts),
      m_Admission(m_Options.m_Admission, Now), m_Ledger(m_Options.m_Ledger),
      m_Dedupe(m_Options.m_Dedupe), m_Watch(m_Options.m_Deaths) {}

void TargetSide::onAnnouncement(const Announcement &News, absl::Time Now) {
  // A late announcement does not take back that this life leaves.
  if (News.m_State != TargetState::Draining && News.m_Instance != 0 &&
      News.m_Instance == m_LeftInstance)
    return;
  if (News.m_State == TargetState::Draining)
    m_LeftInstance = News.m_Instance;
  std::string Base = toBaseUrl(News.m_At);
  if (Base != m_TargetBase || News.m_Instance != m_TargetInstance)
    m_Admission.restart(Now);
  m_TargetBase = std::move(Base);
  m_TargetInstance = News.m_Instance;
  m_Service = News.m_Service;
  m_IsServing = News.m_State == TargetState::Ready;
}

void TargetSide::onForward(link::PeerHandle From, wire::ForwardT &Message,
                           const state::Snapshot &State, absl::Time Now) {
  model::ForwardId Id = fromWire(Message.id);
  if (Message.to_incarnation != m_Options.m_Self) {
    m_Options.m_Hooks.m_Answer(From,
                               makeRefusal(Id, RefusalReason::WrongIncarnation,
                                           Ran::No, ComeBackAfter, Now));
    return;
  }
  if (!record(From, Id, Now))
    return;
  RefusalReason Reason = check(From, Message, State, Now);
  if (Reason == RefusalReason::None &&
      isPutAside(Message.fingerprint, State, Now))
    Reason = RefusalReason::Quarantined;
  // Only from that state on are the key's home and second the same here.
  if (Reason == RefusalReason::None && !Message.idempotency_key.empty() &&
      State.offset() < Message.state_offset)
    Reason = RefusalReason::Overloaded;
  if (Reason != RefusalReason::None) {
    refuse(From, Id, Reason, Ran::No, ComeBackAfter, Now);
    return;
  }
  Run Next;
  Next.m_Id = Id;
  Next.m_From = From;
  Next.m_Deadline = Now + absl::Microseconds(Message.remaining_us);
  if (const model::Rate *Rate = State.findRate(Message.customer))
    Next.m_Weight = static_cast<float>(Rate->m_PerSecond);
  Next.m_Message = std::move(Message);
  if (Next.m_Message.idempotency_key.empty())
    passOn(std::move(Next), Now);
  else
    beginKeyed(std::move(Next), Now);
}

void TargetSide::passOn(Run &&Next, absl::Time Now) {
  if (m_Watch.mayStart(Next.m_Message.fingerprint, Now))
    offer(std::move(Next), Now);
  else
    m_SuspectQueue.push_back(std::move(Next));
}

void TargetSide::offer(Run &&Next, absl::Time Now) {
  model::ForwardId Id = Next.m_Id;
  link::PeerHandle From = Next.m_From;
  model::Fingerprint Print = Next.m_Message.fingerprint;
  m_Watch.start(Print, Now);
  policy::TicketId Ticket = ++m_LastTicket;
  policy::Ticket Offer;
  Offer.m_Id = Ticket;
  Offer.m_Priority = static_cast<model::Priority>(Next.m_Message.priority);
  Offer.m_Customer = customerIndex(Next.m_Message.customer);
  Offer.m_Deadline = Next.m_Deadline;
  Offer.m_IsIdempotent = Next.m_Message.is_idempotent;
  Offer.m_Weight = Next.m_Weight;
  m_Tickets.emplace(Id, Ticket);
  m_Runs.emplace(Ticket, std::move(Next));
  policy::AdmissionDecision Decision = m_Admission.offer(Offer, Now);
  if (Decision.m_Verdict == policy::Verdict::Refused) {
    m_Tickets.erase(Id);
    m_Runs.erase(Ticket);
    m_Watch.end(Print, false);
    refuse(From, Id, Decision.m_Reason, Ran::No, Decision.m_RetryAfter, Now);
  } else if (Decision.m_Verdict == policy::Verdict::Run) {
    start(Ticket, Now);
  }
  drainAdmission(Now);
}

bool TargetSide::isGrantStale(link::PeerHandle From,
                              const wire::ForwardT &Message,
                              const state::Snapshot &State,
                              absl::Time Now) const {
  if (Message.grant_expires_us == 0)
    return false; // No rate binds the customer.
  std::uint32_t Shard = policy::rateShardOf(Message.customer);
  policy::SpentGrant Spent;
  Spent.m_Epoch = Message.grant_epoch;
  Spent.m_Expires =
      absl::FromUnixMicros(static_cast<std::int64_t>(Message.grant_expires_us));
  return policy::isStaleGrant(Spent, State.keeperOf(Shard).m_Epoch,
                              m_Options.m_Hooks.m_SenderNow(From, Now));
}

RefusalReason TargetSide::check(link::PeerHandle From,
                                const wire::ForwardT &Message,
                                const state::Snapshot &State,
                                absl::Time Now) const {
  if (m_IsStopping)
    return RefusalReason::Stopping;
  if (!m_IsServing || Message.service != m_Service)
    return RefusalReason::NoTarget;
  if (Message.priority >= model::PriorityCount || Message.method.empty() ||
      Message.path.empty())
    return RefusalReason::BadRequest;
  if (isGrantStale(From, Message, State, Now))
    return RefusalReason::StaleGrant;
  if (Message.key_digest.empty())
    return RefusalReason::None;
  model::KeyDigest Digest{};
  if (Message.key_digest.size() != Digest.size())
    return RefusalReason::BadKey;
  std::copy(Message.key_digest.begin(), Message.key_digest.end(),
            Digest.begin());
  // A daemon behind the entry side's state cannot judge a key it has not seen.
  if (State.offset() < Message.state_offset)
    return RefusalReason::None;
  const model::Key *Found = State.findKey(Digest);
  if (!Found || Found->m_Customer != Message.customer)
    return RefusalReason::BadKey;
  return RefusalReason::None;
}

void TargetSide::refuse(link::PeerHandle To, const model::ForwardId &Id,
                        RefusalReason Reason, Ran DidRun,
                        absl::Duration RetryAfter, absl::Time Now) {
  settle(To, makeRefusal(Id, Reason, DidRun, RetryAfter, Now), Now);
}

void TargetSide::drainAdmission(absl::Time Now) {
  m_ToRun.clear();
  m_ToRefuse.clear();
  m_Admission.poll(Now, m_ToRun, m_ToRefuse);
  for (policy::TicketId Ticket : m_ToRun)
    start(Ticket, Now);
  for (const policy::AdmissionRefusal &Refusal : m_ToRefuse) {
    auto Found = m_Runs.find(Refusal.m_Id);
    if (Found == m_Runs.end())
      continue;
    Run Refused = std::move(Found->second);
    m_Runs.erase(Found);
    m_Tickets.erase(Refused.m_Id);
    m_Watch.end(Refused.m_Message.fingerprint, false);
    refuse(Refused.m_From, Refused.m_Id, Refusal.m_Reason, Ran::No,
           Refusal.m_RetryAfter, Now);
  }
  absl::Time Next = m_Admission.nextEvent();
  if (Next < absl::InfiniteFuture())
    m_Options.m_Hooks.m_Wake(Next);
}

void TargetSide::start(policy::TicketId Ticket, absl::Time Now) {
  auto Found = m_Runs.find(Ticket);
  if (Found == m_Runs.end())
    return;
  Run &Next = Found->second;
  wire::ForwardT &Message = Next.m_Message;
  if (Message.service != m_Service)
    return refuseOtherService(Ticket, Now);
  CallContext Context;
  Context.m_Customer = Message.customer;
  Context.m_HasKey = Message.key_digest.size() == Context.m_Digest.size();
  if (Context.m_HasKey)
    std::copy(Message.key_digest.begin(), Message.key_digest.end(),
              Context.m_Digest.begin());
  Context.m_Priority = static_cast<model::Priority>(Message.priority);
  Context.m_Deadline = Next.m_Deadline;
  Context.m_Attempts = policy::AttemptBudget(Message.attempts_left);
  Next.m_Context = m_Contexts.open(std::move(Context));
  Next.m_Started = Now;
  absl::Duration Left = Next.m_Deadline - Now;
  http::HttpRequest Request;
  Request.m_Method = Message.method;
  Request.m_Path = Message.path;
  Request.m_Headers = fromWire(std::move(Message.headers));
  Request.m_Body = toText(Message.body);
  Request.m_Headers.push_back(
      {std::string(ContextHeader), toText(Next.m_Context)});
  Request.m_Headers.push_back(
      {std::string(TimeoutHeader),
       std::to_string(absl::ToInt64Milliseconds(Left))});
  Message.body.clear();
  Next.m_Call = m_Options.m_Hooks.m_Call(
      m_TargetBase, std::move(Request), Left,
      [this, Ticket](http::HttpResult Result, absl::Time Finished) {
        onResult(Ticket, std::move(Result), Finished);
      });
}

void TargetSide::refuseOtherService(policy::TicketId Ticket, absl::Time Now) {
  auto Found = m_Runs.find(Ticket);
  Run Refused = std::move(Found->second);
  m_Runs.erase(Found);
  m_Tickets.erase(Refused.m_Id);
  m_Admission.finish(Ticket, policy::RunOutcome::Cancelled,
                     absl::ZeroDuration(), Now);
  m_Watch.end(Refused.m_Message.fingerprint, false);
  refuse(Refused.m_From, Refused.m_Id, RefusalReason::NoTarget, Ran::No,
         ComeBackAfter, Now);
}

void TargetSide::onResult(policy::TicketId Ticket, http::HttpResult Result,
                          absl::Time Now) {
  auto Found = m_Runs.find(Ticket);
  if (Found == m_Runs.end())
    return;
  Run Done = std::move(Found->second);
  m_Runs.erase(Found);
  m_Tickets.erase(Done.m_Id);
  policy::RunOutcome Outcome = outcomeOf(Result);
  if (const CallContext *Context = m_Contexts.find(Done.m_Context)) {
    Done.m_HasFailedBelow = Context->m_HasFailedBelow;
    Done.m_AttemptsLeft = Context->m_Attempts.left();
    bool IsError = Outcome == policy::RunOutcome::Error ||
                   Outcome == policy::RunOutcome::Shed;
    if (IsError && Done.m_HasFailedBelow)
      Outcome = policy::RunOutcome::DownstreamRefused;
  }
  m_Contexts.close(Done.m_Context);
  m_Admission.finish(Ticket, Outcome, Result.m_Latency, Now);
  if (Result.m_Failure == http::Failure::Cut) {
    holdCut(Done, Now);
  } else {
    bool IsAnswered = Result.m_Failure == http::Failure::None;
    if (IsAnswered)
      noteAlive(Done);
    m_Watch.end(Done.m_Message.fingerprint, IsAnswered);
    answerResult(Done, Result, Now);
  }
  startSuspects(Now);
  drainAdmission(Now);
}

void TargetSide::answerResult(Run &Done, http::HttpResult &Result,
                              absl::Time Now) {
  if (Result.m_Failure != http::Failure::None) {
    refuse(Done.m_From, Done.m_Id, reasonOf(Result.m_Failure),
           ranOf(Result.m_Failure), ComeBackAfter, Now);
    return;
  }
  wire::AnswerT Answer;
  Answer.id = toWire(Done.m_Id);
  Answer.ran = static_cast<std::uint8_t>(Ran::Yes);
  Answer.status = static_cast<std::uint16_t>(Result.m_Response.m_Status);
  Answer.headers = toWire(headersForCaller(Result.m_Response.m_Headers));
  Answer.body = toBytes(Result.m_Response.m_Body);
  Answer.load =
      wireOf(m_Admission.load(Now, customerIndex(Done.m_Message.customer)));
  Answer.attempts_left = Done.m_AttemptsLeft;
  Answer.is_final = Done.m_HasFailedBelow;
  settle(Done.m_From, std::move(Answer), Now);
}

void TargetSide::onCancel(const model::ForwardId &Id, absl::Time Now) {
  auto Found = m_Tickets.find(Id);
  if (Found == m_Tickets.end())
    return;
  // Its answer is for the caller's resend.
  if (m_KeyNames.contains(Id))
    return;
  policy::TicketId Ticket = Found->second;
  Run &Cancelled = m_Runs.at(Ticket);
  if (Cancelled.m_Started != absl::InfinitePast()) {
    m_Options.m_Hooks.m_CancelCall(Cancelled.m_Call);
    return; // Its result follows.
  }
  m_Admission.cancel(Ticket, Now);
  link::PeerHandle From = Cancelled.m_From;
  m_Watch.end(Cancelled.m_Message.fingerprint, false);
  m_Runs.erase(Ticket);
  m_Tickets.erase(Found);
  refuse(From, Id, RefusalReason::Cancelled, Ran::No, absl::ZeroDuration(),
         Now);
  drainAdmission(Now);
}

void TargetSide::tick(absl::Time Now) {
  m_Dedupe.tick(Now);
  judgeCuts(Now);
  startSuspects(Now);
  drainAdmission(Now);
}

void TargetSide::stopIntake() { m_IsStopping = true; }

wire::Load TargetSide::load(absl::Time Now) const {
  return wireOf(m_Admission.load(Now));
}

std::uint32_t TargetSide::customerIndex(const std::string &Customer) {
  auto Next = static_cast<std::uint32_t>(m_CustomerIndices.size());
  return m_CustomerIndices.emplace(Customer, Next).first->second;
}

} // namespace knapweedloft::app
