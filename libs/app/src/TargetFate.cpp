#include "app/TargetSide.h"

#include <utility>

namespace knapweedloft::app {
namespace {

using model::Ran;
using model::RefusalReason;

/// What a remembered answer takes beside its body and headers.
constexpr std::size_t AnswerOverheadBytes = 256;

std::size_t bytesOf(const wire::AnswerT &Answer) {
  std::size_t Bytes = AnswerOverheadBytes + Answer.body.size();
  for (const auto &Field : Answer.headers)
    Bytes += Field->name.size() + Field->value.size();
  return Bytes;
}

wire::Fate toWire(policy::ForwardStatus Fate) {
  switch (Fate) {
  case policy::ForwardStatus::NotRun:
    return wire::Fate::NotRun;
  case policy::ForwardStatus::Running:
    return wire::Fate::Running;
  case policy::ForwardStatus::Finished:
    return wire::Fate::Finished;
  case policy::ForwardStatus::Unknown:
    break;
  }
  return wire::Fate::Unknown;
}

} // namespace

bool TargetSide::record(link::PeerHandle From, const model::ForwardId &Id,
                        absl::Time Now) {
  policy::ForwardBeginResult Entry = m_Ledger.begin(Id, Now);
  dropEvicted();
  switch (Entry) {
  case policy::ForwardBeginResult::Fresh:
    return true;
  case policy::ForwardBeginResult::Running:
    moveTo(Id, From);
    return false;
  case policy::ForwardBeginResult::Finished:
    resend(From, Id, Now);
    return false;
  case policy::ForwardBeginResult::Closed:
    break;
  }
  return false; // The entry side was told, or asks.
}

void TargetSide::onQuery(link::PeerHandle From, const wire::FateQueryT &Query,
                         absl::Time Now) {
  model::ForwardId Id = fromWire(Query.id);
  // What a former incarnation had started at the target cannot be known.
  policy::ForwardStatus Fate = Query.to_incarnation == m_Options.m_Self
                                   ? m_Ledger.query(Id, Now)
                                   : policy::ForwardStatus::Unknown;
  dropEvicted();
  wire::FateAnswerT Answer;
  Answer.id = Query.id;
  Answer.fate = toWire(Fate);
  m_Options.m_Hooks.m_Fate(From, std::move(Answer));
  if (Fate == policy::ForwardStatus::Running)
    moveTo(Id, From);
  if (Fate == policy::ForwardStatus::Finished)
    resend(From, Id, Now);
}

void TargetSide::settle(link::PeerHandle To, wire::AnswerT Answer,
                        absl::Time Now) {
  policy::OutcomeId Outcome = ++m_LastOutcome;
  m_Ledger.finish(fromWire(Answer.id), Outcome, bytesOf(Answer), Now);
  m_Outcomes.emplace(Outcome, Answer);
  dropEvicted();
  endKeyed(Answer, Now);
  m_Options.m_Hooks.m_Answer(To, std::move(Answer));
}

void TargetSide::resend(link::PeerHandle To, const model::ForwardId &Id,
                        absl::Time Now) {
  auto Found = m_Outcomes.find(m_Ledger.outcomeOf(Id));
  if (Found != m_Outcomes.end()) {
    m_Options.m_Hooks.m_Answer(To, Found->second);
    return;
  }
  // It ended, but its answer had to make room.
  m_Options.m_Hooks.m_Answer(To, makeRefusal(Id, RefusalReason::OutcomeUnknown,
                                             Ran::Unknown, absl::ZeroDuration(),
                                             Now));
}

void TargetSide::dropEvicted() {
  for (policy::OutcomeId Gone : m_Ledger.takeEvicted())
    m_Outcomes.erase(Gone);
}

wire::AnswerT TargetSide::makeRefusal(const model::ForwardId &Id,
                                      RefusalReason Reason, Ran DidRun,
                                      absl::Duration RetryAfter,
                                      absl::Time Now) const {
  wire::AnswerT Answer;
  Answer.id = app::toWire(Id);
  Answer.refusal = static_cast<std::uint8_t>(Reason);
  Answer.ran = static_cast<std::uint8_t>(DidRun);
  Answer.retry_after_us =
      static_cast<std::uint64_t>(absl::ToInt64Microseconds(RetryAfter));
  Answer.load = load(Now);
  return Answer;
}

} // namespace knapweedloft::app
