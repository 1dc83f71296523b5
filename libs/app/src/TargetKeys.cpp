#include "app/TargetSide.h"

#include <utility>

namespace knapweedloft::app {
namespace {

using model::Ran;
using model::RefusalReason;

/// When to come back for an answer that another daemon may yet tell.
constexpr absl::Duration KeyRetryAfter = absl::Seconds(1);

} // namespace

void TargetSide::beginKeyed(Run &&Next, absl::Time Now) {
  std::string Name = DedupeHome::nameOf(Next.m_Message.customer,
                                        Next.m_Message.idempotency_key);
  switch (m_Dedupe.claim(Name, Next.m_Message.fingerprint, Now)) {
  case policy::DedupeClaim::Fresh:
    break;
  case policy::DedupeClaim::Wait:
    m_Waiters[Name].push_back({Next.m_Id, Next.m_From});
    return;
  case policy::DedupeClaim::Replay:
    replay(Next.m_From, Next.m_Id, *m_Dedupe.answerOf(Name), Now);
    return;
  case policy::DedupeClaim::Unknown:
    refuse(Next.m_From, Next.m_Id, RefusalReason::OutcomeUnknown, Ran::Unknown,
           KeyRetryAfter, Now);
    return;
  case policy::DedupeClaim::Mismatch:
    refuse(Next.m_From, Next.m_Id, RefusalReason::IdempotencyMismatch, Ran::No,
           absl::ZeroDuration(), Now);
    return;
  case policy::DedupeClaim::Full:
    refuse(Next.m_From, Next.m_Id, RefusalReason::Overloaded, Ran::No,
           KeyRetryAfter, Now);
    return;
  }
  model::ForwardId Id = Next.m_Id;
  m_KeyNames.emplace(Id, Name);
  m_Starting.emplace(Id, std::move(Next));
  m_Dedupe.storeStart(
      Name,
      [this, Id](DedupeHome::Start How, absl::Time Then) {
        onStartStored(Id, How, Then);
      },
      Now);
}

void TargetSide::onStartStored(const model::ForwardId &Id,
                               DedupeHome::Start How, absl::Time Now) {
  auto Found = m_Starting.find(Id);
  Run Next = std::move(Found->second);
  m_Starting.erase(Found);
  if (How == DedupeHome::Start::Stored) {
    passOn(std::move(Next), Now);
    return;
  }
  if (How == DedupeHome::Start::Refused) {
    refuse(Next.m_From, Id, RefusalReason::Overloaded, Ran::No, KeyRetryAfter,
           Now);
    return;
  }
  // The second knew the key. The copies that came meanwhile fare alike.
  auto Name = m_KeyNames.extract(Id).mapped();
  std::vector<Waiter> Waiters = takeWaiters(Name);
  Waiters.push_back({Id, Next.m_From});
  policy::DedupeClaim Claim =
      m_Dedupe.claim(Name, Next.m_Message.fingerprint, Now);
  if (Claim == policy::DedupeClaim::Fresh)
    m_Dedupe.release(Name); // Forgotten meanwhile; nothing ran here.
  for (const Waiter &Copy : Waiters) {
    if (Claim == policy::DedupeClaim::Replay)
      replay(Copy.m_From, Copy.m_Id, *m_Dedupe.answerOf(Name), Now);
    else if (Claim == policy::DedupeClaim::Mismatch)
      refuse(Copy.m_From, Copy.m_Id, RefusalReason::IdempotencyMismatch,
             Ran::No, absl::ZeroDuration(), Now);
    else
      refuse(Copy.m_From, Copy.m_Id, RefusalReason::OutcomeUnknown,
             Ran::Unknown, KeyRetryAfter, Now);
  }
}

void TargetSide::replay(link::PeerHandle To, const model::ForwardId &Id,
                        const wire::AnswerT &Known, absl::Time Now) {
  wire::AnswerT Answer(Known);
  Answer.id = toWire(Id);
  Answer.is_replayed = true;
  settle(To, std::move(Answer), Now);
}

void TargetSide::endKeyed(const wire::AnswerT &Answer, absl::Time Now) {
  auto Found = m_KeyNames.find(fromWire(Answer.id));
  if (Found == m_KeyNames.end())
    return;
  std::string Name = std::move(Found->second);
  m_KeyNames.erase(Found);
  m_Dedupe.end(Name, Answer, Now);
  for (const Waiter &Copy : takeWaiters(Name))
    replay(Copy.m_From, Copy.m_Id, Answer, Now);
}

std::vector<TargetSide::Waiter>
TargetSide::takeWaiters(const std::string &Name) {
  auto Found = m_Waiters.find(Name);
  if (Found == m_Waiters.end())
    return {};
  std::vector<Waiter> Taken = std::move(Found->second);
  m_Waiters.erase(Found);
  return Taken;
}

void TargetSide::moveTo(const model::ForwardId &Id, link::PeerHandle From) {
  auto Ticket = m_Tickets.find(Id);
  if (Ticket != m_Tickets.end())
    m_Runs.at(Ticket->second).m_From = From;
  auto Starting = m_Starting.find(Id);
  if (Starting != m_Starting.end())
    Starting->second.m_From = From;
  for (Run &Waiting : m_SuspectQueue)
    if (Waiting.m_Id == Id)
      Waiting.m_From = From;
  for (CutBatch &Batch : m_Cuts)
    for (CutBatch::Cut &Cut : Batch.m_Cuts)
      if (Cut.m_Id == Id)
        Cut.m_From = From;
  for (auto &[Name, Copies] : m_Waiters)
    for (Waiter &Copy : Copies)
      if (Copy.m_Id == Id)
        Copy.m_From = From;
}

} // namespace knapweedloft::app
