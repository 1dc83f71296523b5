// EntryPath: handling of answers from target sides, retries and refusals.
#include "mesh/EntryPath.h"

#include "app/WireConvert.h"
#include "http/MessageText.h"
#include "model/Ran.h"

#include "absl/random/distributions.h"
#include "fmt/format.h"

#include <algorithm>
#include <iterator>

namespace knapweedloft::mesh {
namespace {

using model::Ran;
using model::RefusalReason;
using policy::RequestStanding;

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr int FirstServerError = 500;
/// Callers honor a retry-after up to this share of their remaining time.
constexpr double MaxRetryAfterShare = 1.0 / 3;
/// A shorter retry-after would amount to an immediate resend.
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(100);
/// Minimum span over which the resends of requests refused together spread.
constexpr absl::Duration RetryAfterSpread = absl::Milliseconds(400);
/// Minimum remaining time for a retry.
constexpr absl::Duration MinRetryTime = absl::Milliseconds(20);
constexpr int FirstFinalStatus = 200;
constexpr int MaxStatus = 599;

/// \returns whether a caller can be sent an answer as it is. A peer that runs
/// another version may pass on more than this one reads from its target.
bool isRelayable(const wire::AnswerT &Answer) {
  return Answer.status >= FirstFinalStatus && Answer.status <= MaxStatus &&
         http::areHeaderLines(Answer.lines);
}

} // namespace

void EntryPath::onAnswer(wire::AnswerT &Answer, absl::Time Now) {
  if (Answer.id.entry() != m_Options.m_Self.m_Incarnation)
    return;
  auto Found = m_BySequence.find(Answer.id.sequence());
  if (Found == m_BySequence.end())
    return; // The request has ended or was sent to another target.
  PendingId Id = Found->second;
  m_BySequence.erase(Found);
  onTargetAnswer(Id, Answer, Now);
}

void EntryPath::onTargetAnswer(PendingId Id, wire::AnswerT &Answer,
                               absl::Time Now) {
  Pending &Request = m_Pending.at(Id);
  Request.m_IsSent = false;
  bool IsRelayed =
      static_cast<RefusalReason>(Answer.refusal) == RefusalReason::None;
  if (IsRelayed && !isRelayable(Answer)) {
    m_Log.notable("A peer passed on a malformed answer.",
                  {{"id", Request.m_CallId},
                   {"status", Answer.status},
                   {"target", Request.m_To.m_Name}});
    Answer.refusal = static_cast<std::uint8_t>(RefusalReason::BadAnswer);
    Answer.ran = static_cast<std::uint8_t>(Ran::Unknown);
  }
  if (m_Notices.onAnswer(Request.m_To, Answer, Now)) {
    m_Log.state("A target leaves.", {{"target", Request.m_To.m_Name},
                                     {"instance", Answer.notice->instance},
                                     {"id", Request.m_CallId}});
    onTargetsChanged();
  }
  auto Reason = static_cast<RefusalReason>(Answer.refusal);
  auto DidRun = static_cast<Ran>(Answer.ran);
  // A refusal by the target itself counts as a failure of the target; a
  // refusal by its daemon does not.
  bool HasArrived = DidRun != Ran::No || Answer.status != 0;
  bool IsFailure = HasArrived && (Reason != RefusalReason::None ||
                                  Answer.status >= FirstServerError);
  ServiceState &State = serviceOf(Request.m_Service, Now);
  State.m_Chooser.onAnswer(Request.m_Target,
                           app::fromWire(Answer.load, Answer.pace), !IsFailure,
                           Now - Request.m_Sent, Now);
  if (Answer.held_us > 0)
    noteTransfer(Request, State, Answer, Now);
  m_Admission.onLoad(Request.m_Service, Request.m_To.m_Incarnation,
                     Answer.load.shed_level(), Answer.load.limit(), Now);
  Request.m_Arrivals += HasArrived ? 1 : 0;
  if (DidRun != Ran::No)
    Request.m_MayHaveRun = true;
  if (!IsFailure && Reason == RefusalReason::None) {
    relay(Id, Answer, Now);
    return;
  }
  onTargetFailure(Id, &Answer, Now);
}

void EntryPath::noteTransfer(const Pending &Request, ServiceState &State,
                             const wire::AnswerT &Answer, absl::Time Now) {
  std::size_t Bytes =
      Request.m_Bytes + Answer.lines.size() + Answer.body.size();
  absl::Duration Way =
      Now - Request.m_Sent - absl::Microseconds(Answer.held_us);
  State.m_Chooser.onTransfer(Request.m_Target, Way, Bytes, Now);
  m_Leaving.onAnswered(Request.m_Service, isLeaving(Request.m_To), Bytes);
}

bool EntryPath::mayRetry(const Pending &Request, bool DidNotRun,
                         absl::Time Now) {
  bool IsAllowed = DidNotRun || Request.m_Route->m_IsIdempotent;
  RequestStanding Standing = judge(Request, Now).m_Standing;
  if (policy::isForOneTarget(Standing) ||
      Standing == RequestStanding::Quarantined)
    return false;
  if (!IsAllowed || Request.m_Arrivals >= Request.m_Route->m_MaxTargets ||
      Request.m_CompleteBy - Now < MinRetryTime)
    return false;
  return serviceOf(Request.m_Service, Now).m_RetryBudget.tryTake();
}

void EntryPath::onTargetFailure(PendingId Id, wire::AnswerT *Answer,
                                absl::Time Now) {
  Pending &Request = m_Pending.at(Id);
  bool IsAnswered = Answer && Answer->refusal == 0;
  bool DidNotRun = Answer && static_cast<Ran>(Answer->ran) == Ran::No;
  bool HasArrived = !DidNotRun || Answer->status != 0;
  Request.m_Excluded.push_back(Request.m_Target);
  bool IsQuarantined =
      Answer &&
      Answer->refusal == static_cast<std::uint8_t>(RefusalReason::Quarantined);
  if (IsQuarantined && !HasArrived) {
    endQuarantined(Id, Now);
    return;
  }
  bool IsForOneTarget = policy::isForOneTarget(judge(Request, Now).m_Standing);
  if (!HasArrived && !IsForOneTarget) {
    ++m_Counts.m_Reroutes;
    if (++Request.m_Refusals < m_Options.m_MaxRefusals &&
        Now < Request.m_CompleteBy) {
      retry(Id, "refused by a target side", Now);
      return;
    }
  } else if (mayRetry(Request, DidNotRun && !Request.m_MayHaveRun, Now)) {
    ++m_Counts.m_Retries;
    retry(Id, "failed at a target", Now);
    return;
  }
  if (IsAnswered) {
    relay(Id, *Answer, Now);
    return;
  }
  Refusal Why;
  Why.m_Reason = Request.m_MayHaveRun ? RefusalReason::OutcomeUnknown
                                      : RefusalReason::Overloaded;
  if (Answer)
    Why.m_RetryAfter = absl::Microseconds(Answer->retry_after_us);
  end(Id, Why, Now);
}

void EntryPath::retry(PendingId Id, const char *Cause, absl::Time Now) {
  const Pending &Request = m_Pending.at(Id);
  m_Log.notable("Request retried at another target.",
                {{"id", Request.m_CallId},
                 {"why", Cause},
                 {"target", Request.m_To.m_Name},
                 {"arrivals", Request.m_Arrivals},
                 {"refusals", Request.m_Refusals},
                 {"left", Request.m_CompleteBy - Now}});
  dispatch(Id, Now);
}

void EntryPath::relay(PendingId Id, wire::AnswerT &Answer, absl::Time Now) {
  const Pending &Request = m_Pending.at(Id);
  int Status = Answer.status;
  ++m_Counts.m_Answered;
  absl::Duration Took = Now - Request.m_Received;
  m_Counts.m_Latency.add(Took);
  countOutcome(Request,
               Status >= FirstServerError ? "target-error" : "answered");
  if (Status >= FirstServerError) {
    ++m_Counts.m_TargetErrors;
    m_Log.notable("Request answered with the target's error.",
                  {{"id", Request.m_CallId},
                   {"status", Status},
                   {"route", Request.m_Route->m_Name},
                   {"target", Request.m_To.m_Name},
                   {"arrivals", Request.m_Arrivals},
                   {"took", Took}});
  } else {
    m_Log.routine("Request answered.",
                  {{"id", Request.m_CallId},
                   {"status", Status},
                   {"route", Request.m_Route->m_Name},
                   {"target", Request.m_To.m_Name},
                   {"took", Took},
                   {"late", Took > Request.m_Route->m_LatencyObjective}});
  }
  m_Options.m_Hooks.m_Answer(Request.m_Exchange, Status, Answer.lines,
                             app::viewOf(Answer.body));
  forget(Id);
}

absl::Duration EntryPath::retryAfter(const Pending &Refused,
                                     absl::Duration Hint, absl::Time Now) {
  double Draw = absl::Uniform(m_Random, 0.0, 1.0);
  absl::Duration Base = std::max(Hint, MinRetryAfter);
  absl::Duration After = Base + Draw * std::max(Base, RetryAfterSpread);
  if (!Refused.m_Route)
    return After;
  absl::Duration Longest = (Refused.m_Deadline - Now) * MaxRetryAfterShare;
  // Spread the capped values too, or resends would arrive together.
  return After <= Longest
             ? After
             : std::max(absl::ZeroDuration(), Longest * (0.5 + Draw / 2));
}

void EntryPath::end(PendingId Id, const Refusal &Why, absl::Time Now) {
  Pending &Request = m_Pending.at(Id);
  if (Request.m_HasToken && !Request.m_MayHaveRun)
    m_Rates.putBack(Request.m_Customer->m_Name, Now);
  refuse(Request.m_Exchange, Request, Why, Now);
  forget(Id);
}

void EntryPath::endAll(absl::Time Now) {
  std::vector<PendingId> Left;
  for (auto &[Id, Request] : m_Pending) {
    Request.m_MayHaveRun = Request.m_MayHaveRun || Request.m_IsSent;
    Left.push_back(Id);
  }
  std::sort(Left.begin(), Left.end());
  for (PendingId Id : Left)
    end(Id,
        {m_Pending.at(Id).m_MayHaveRun ? RefusalReason::OutcomeUnknown
                                       : RefusalReason::Stopping},
        Now);
}

EntryPath::Refusal EntryPath::quarantineRefusal(const Pending &Request,
                                                absl::Time Now) const {
  policy::RequestJudgement Found = judge(Request, Now);
  if (Found.m_IsConfirmed)
    return {RefusalReason::Quarantined};
  // It may run again after the quarantine.
  Refusal Why{RefusalReason::Overloaded};
  Why.m_RetryAfter = std::max(Found.m_Until - Now, absl::ZeroDuration());
  return Why;
}

void EntryPath::endQuarantined(PendingId Id, absl::Time Now) {
  const Pending &Request = m_Pending.at(Id);
  end(Id,
      Request.m_MayHaveRun ? Refusal{RefusalReason::OutcomeUnknown}
                           : quarantineRefusal(Request, Now),
      Now);
}

void EntryPath::refuse(http::ExchangeId Id, const Pending &Refused,
                       const Refusal &Why, absl::Time Now) {
  ++m_Counts.m_RefusedByReason[static_cast<std::size_t>(Why.m_Reason)];
  int Status = model::httpStatusOf(Why.m_Reason);
  std::string_view Reason = model::RefusalReasonNames.nameOf(Why.m_Reason);
  countOutcome(Refused, Reason);
  std::string_view DidRun =
      model::RanNames.nameOf(Refused.m_MayHaveRun ? Ran::Unknown : Ran::No);
  std::string Lines = "Content-Type: application/problem+json\r\n";
  absl::Duration RetryAfter;
  if (Status == TooManyRequests || Status == ServiceUnavailable) {
    RetryAfter = retryAfter(Refused, Why.m_RetryAfter, Now);
    fmt::format_to(std::back_inserter(Lines), "Retry-After: {:.3f}\r\n",
                   absl::ToDoubleSeconds(RetryAfter));
  }
  std::string Body =
      fmt::format(R"({{"reason":"{}","ran":"{}"}})", Reason, DidRun);
  if (judge(Refused, Now).m_Standing == policy::RequestStanding::Quarantined)
    logQuarantined(Refused, Now);
  if (Why.m_Reason == RefusalReason::Quarantined) {
    Body = fmt::format(
        R"({{"reason":"{}","ran":"{}","detail":"targets crashed while they ran this request: {} are known"}})",
        Reason, DidRun, judge(Refused, Now).m_Crashes);
  }
  m_Log.notable(
      "Request refused.",
      {{"id", Refused.m_CallId},
       {"reason", Reason},
       {"ran", DidRun},
       {"route", Refused.m_Route ? Refused.m_Route->m_Name : ""},
       {"customer", Refused.m_Customer ? Refused.m_Customer->m_Name : ""},
       {"target", Refused.m_To.m_Name},
       {"config", m_Catalog ? m_Catalog->version() : 0},
       {"held", Now - Refused.m_Received},
       {"back", RetryAfter}});
  m_Options.m_Hooks.m_Answer(Id, Status, Lines, Body);
}

void EntryPath::logQuarantined(const Pending &Refused, absl::Time Now) const {
  policy::RequestJudgement Found = judge(Refused, Now);
  m_Log.notable(
      "Request is quarantined.",
      {{"id", Refused.m_CallId},
       {"request", fmt::format("{:016x}", Refused.m_Fingerprint)},
       {"standing", policy::RequestStandingNames.nameOf(Found.m_Standing)},
       {"crashes", Found.m_Crashes},
       {"explained", Found.m_Explained},
       {"for", Found.m_Until - Now},
       {"decided_by",
        m_Options.m_Hooks.m_DescribeCrashes
            ? m_Options.m_Hooks.m_DescribeCrashes(Refused.m_Fingerprint, Now)
            : std::string()}});
}

void EntryPath::countOutcome(const Pending &Request, std::string_view Outcome) {
  if (!Request.m_Route)
    return;
  m_Counts.m_ByRoute.count(Request.m_Route->m_Name, Outcome);
  if (Request.m_Customer)
    m_Counts.m_ByCustomer.count(Request.m_Customer->m_Name, Outcome);
  if (!Request.m_Service.empty())
    m_Counts.m_ByService.count(Request.m_Service, Outcome);
}

} // namespace knapweedloft::mesh
