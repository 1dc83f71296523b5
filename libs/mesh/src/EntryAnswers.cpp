// What becomes of a request that was sent on: answers, repeats, refusals.
#include "mesh/EntryPath.h"

#include "app/WireConvert.h"
#include "model/Ran.h"

#include "absl/random/distributions.h"
#include "fmt/format.h"

#include <algorithm>
#include <iterator>

namespace knapweedloft::mesh {
namespace {

using model::Ran;
using model::RefusalReason;

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr int FirstServerError = 500;
/// Callers honour a time up to this part of what they have left.
constexpr double ComeBackPart = 1.0 / 3;
/// The least time after which to come back; less would be a resend at once.
constexpr absl::Duration LeastComeBack = absl::Milliseconds(100);
/// Those refused together return over at least this span.
constexpr absl::Duration ComeBackSpan = absl::Milliseconds(400);
/// A repeat needs this much time at least.
constexpr absl::Duration LeastRepeatTime = absl::Milliseconds(20);

} // namespace

void EntryPath::onAnswer(wire::AnswerT &Answer, absl::Time Now) {
  if (Answer.id.entry() != m_Options.m_Self.m_Incarnation)
    return;
  auto Found = m_BySequence.find(Answer.id.sequence());
  if (Found == m_BySequence.end())
    return; // The request has ended or moved on.
  PendingId Id = Found->second;
  m_BySequence.erase(Found);
  onTargetAnswer(Id, Answer, Now);
}

void EntryPath::onTargetAnswer(PendingId Id, wire::AnswerT &Answer,
                               absl::Time Now) {
  Pending &Held = m_Pending.at(Id);
  Held.m_IsSent = false;
  auto Reason = static_cast<RefusalReason>(Answer.refusal);
  auto DidRun = static_cast<Ran>(Answer.ran);
  // A refusal that reached the target is the target's failure; one by its
  // daemon is not.
  bool HasArrived = DidRun != Ran::No || Answer.status != 0;
  bool IsFailure = HasArrived && (Reason != RefusalReason::None ||
                                  Answer.status >= FirstServerError);
  Service &Of = serviceOf(Held.m_Service, Now);
  Of.m_Chooser.onAnswer(Held.m_Target, app::fromWire(Answer.load), !IsFailure,
                        Now - Held.m_Sent, Now);
  m_Door.onLoad(Held.m_Service, Held.m_To.m_Incarnation,
                Answer.load.shed_level(), Answer.load.limit(), Now);
  Held.m_Arrivals += HasArrived ? 1 : 0;
  if (DidRun != Ran::No)
    Held.m_MayHaveRun = true;
  if (!IsFailure && Reason == RefusalReason::None) {
    pass(Id, Answer, Now);
    return;
  }
  onTargetFailure(Id, &Answer, Now);
}

bool EntryPath::mayRepeat(const Pending &Held, bool DidNotRun, absl::Time Now) {
  bool IsAllowed = DidNotRun || Held.m_Route->m_IsIdempotent;
  if (!IsAllowed || Held.m_Arrivals >= Held.m_Route->m_MaxTargets ||
      Held.m_End - Now < LeastRepeatTime)
    return false;
  return serviceOf(Held.m_Service, Now).m_Repeats.tryTake();
}

void EntryPath::onTargetFailure(PendingId Id, wire::AnswerT *Answer,
                                absl::Time Now) {
  Pending &Held = m_Pending.at(Id);
  bool IsAnswered = Answer && Answer->refusal == 0;
  bool DidNotRun = Answer && static_cast<Ran>(Answer->ran) == Ran::No;
  bool HasArrived = !DidNotRun || Answer->status != 0;
  Held.m_Excluded.push_back(Held.m_Target);
  if (!HasArrived) {
    ++m_Counts.m_Reroutes;
    if (++Held.m_Refusals < m_Options.m_MaxRefusals && Now < Held.m_End) {
      retry(Id, "refused by a target side", Now);
      return;
    }
  } else if (mayRepeat(Held, DidNotRun && !Held.m_MayHaveRun, Now)) {
    ++m_Counts.m_Repeats;
    retry(Id, "failed at a target", Now);
    return;
  }
  if (IsAnswered) {
    pass(Id, *Answer, Now);
    return;
  }
  Ending How;
  How.m_Reason = Held.m_MayHaveRun ? RefusalReason::OutcomeUnknown
                                   : RefusalReason::Overloaded;
  if (Answer)
    How.m_ComeBack = absl::Microseconds(Answer->retry_after_us);
  end(Id, How, Now);
}

void EntryPath::retry(PendingId Id, const char *Why, absl::Time Now) {
  const Pending &Held = m_Pending.at(Id);
  m_Log.notable("Sent to another target.", {{"id", Held.m_CallId},
                                            {"why", Why},
                                            {"target", Held.m_To.m_Name},
                                            {"arrivals", Held.m_Arrivals},
                                            {"refusals", Held.m_Refusals},
                                            {"left", Held.m_End - Now}});
  dispatch(Id, Now);
}

void EntryPath::pass(PendingId Id, wire::AnswerT &Answer, absl::Time Now) {
  const Pending &Done = m_Pending.at(Id);
  int Status = Answer.status;
  ++m_Counts.m_Answered;
  absl::Duration Took = Now - Done.m_Received;
  m_Counts.m_Latency.add(Took);
  countOutcome(Done, Status >= FirstServerError ? "target-error" : "answered");
  if (Status >= FirstServerError) {
    ++m_Counts.m_TargetErrors;
    m_Log.notable("Answered with the target's error.",
                  {{"id", Done.m_CallId},
                   {"status", Status},
                   {"route", Done.m_Route->m_Name},
                   {"target", Done.m_To.m_Name},
                   {"arrivals", Done.m_Arrivals},
                   {"took", Took}});
  } else {
    m_Log.routine("Answered.", {{"id", Done.m_CallId},
                                {"status", Status},
                                {"route", Done.m_Route->m_Name},
                                {"target", Done.m_To.m_Name},
                                {"took", Took}});
  }
  m_Options.m_Hooks.m_Answer(Done.m_Exchange, Status, Answer.lines,
                             app::viewOf(Answer.body));
  forget(Id);
}

absl::Duration EntryPath::comeBackAfter(const Pending &Refused,
                                        absl::Duration Hint, absl::Time Now) {
  double Turn = absl::Uniform(m_Random, 0.0, 1.0);
  absl::Duration From = std::max(Hint, LeastComeBack);
  absl::Duration After = From + Turn * std::max(From, ComeBackSpan);
  if (!Refused.m_Route)
    return After;
  absl::Duration Most = (Refused.m_Deadline - Now) * ComeBackPart;
  // What is cut to the most is spread as well.
  return After <= Most
             ? After
             : std::max(absl::ZeroDuration(), Most * (0.5 + Turn / 2));
}

void EntryPath::end(PendingId Id, const Ending &How, absl::Time Now) {
  Pending &Done = m_Pending.at(Id);
  if (Done.m_HasToken && !Done.m_MayHaveRun)
    m_Rates.putBack(Done.m_Customer->m_Name, Now);
  refuse(Done.m_Exchange, Done, How, Now);
  forget(Id);
}

void EntryPath::refuse(http::ExchangeId Id, const Pending &Refused,
                       const Ending &How, absl::Time Now) {
  ++m_Counts.m_Ended[static_cast<std::size_t>(How.m_Reason)];
  int Status = model::httpStatusOf(How.m_Reason);
  std::string_view Reason = model::RefusalReasonNames.nameOf(How.m_Reason);
  countOutcome(Refused, Reason);
  std::string_view DidRun =
      model::RanNames.nameOf(Refused.m_MayHaveRun ? Ran::Unknown : Ran::No);
  std::string Lines = "Content-Type: application/problem+json\r\n";
  absl::Duration ComeBack;
  if (Status == TooManyRequests || Status == ServiceUnavailable) {
    ComeBack = comeBackAfter(Refused, How.m_ComeBack, Now);
    fmt::format_to(std::back_inserter(Lines), "Retry-After: {:.3f}\r\n",
                   absl::ToDoubleSeconds(ComeBack));
  }
  std::string Body =
      fmt::format(R"({{"reason":"{}","ran":"{}"}})", Reason, DidRun);
  m_Log.notable(
      "Refused.",
      {{"id", Refused.m_CallId},
       {"reason", Reason},
       {"ran", DidRun},
       {"route", Refused.m_Route ? Refused.m_Route->m_Name : ""},
       {"customer", Refused.m_Customer ? Refused.m_Customer->m_Name : ""},
       {"target", Refused.m_To.m_Name},
       {"config", m_Catalog ? m_Catalog->version() : 0},
       {"held", Now - Refused.m_Received},
       {"back", ComeBack}});
  m_Options.m_Hooks.m_Answer(Id, Status, Lines, Body);
}

void EntryPath::countOutcome(const Pending &Of, std::string_view Outcome) {
  if (!Of.m_Route)
    return;
  m_Counts.m_ByRoute.count(Of.m_Route->m_Name, Outcome);
  if (Of.m_Customer)
    m_Counts.m_ByCustomer.count(Of.m_Customer->m_Name, Outcome);
  if (!Of.m_Service.empty())
    m_Counts.m_ByService.count(Of.m_Service, Outcome);
}

} // namespace knapweedloft::mesh
