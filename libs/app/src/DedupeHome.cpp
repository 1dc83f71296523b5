#include "app/DedupeHome.h"

#include "model/Ran.h"
#include "model/RefusalReason.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace knapweedloft::app {
namespace {

using policy::DedupeState;

/// Entries handed on in one tick.
constexpr std::size_t HandOnBatch = 1000;
/// Between customer and key: a byte that no header value holds.
constexpr char Separator = '\n';

DedupeState stateOf(const wire::AnswerT &Answer) {
  if (static_cast<model::Ran>(Answer.ran) == model::Ran::No)
    return DedupeState::Released;
  bool IsWhole =
      Answer.refusal == static_cast<std::uint8_t>(model::RefusalReason::None);
  return IsWhole ? DedupeState::Finished : DedupeState::Unknown;
}

} // namespace

DedupeHome::DedupeHome(Options Settings)
    : m_Options(std::move(Settings)), m_Table(m_Options.m_Table) {}

std::string DedupeHome::nameOf(const std::string &Customer,
                               const std::string &Key) {
  return Customer + Separator + Key;
}

policy::DedupeClaim DedupeHome::claim(const std::string &Name,
                                      std::uint64_t RequestHash,
                                      absl::Time Now) {
  policy::DedupeClaim Result = m_Table.claim(Name, RequestHash, Now);
  dropEvicted();
  return Result;
}

void DedupeHome::storeStart(const std::string &Name, Started OnDone,
                            absl::Time Now) {
  if (!m_Options.m_Hooks.m_Second || !m_Options.m_Hooks.m_Second(Name)) {
    OnDone(Start::Stored, Now); // Alone: there is nobody to ask.
    return;
  }
  std::uint64_t Sequence = ++m_LastSequence;
  Pending &Next = m_Pending[Sequence];
  Next.m_Name = Name;
  Next.m_OnDone = std::move(OnDone);
  Next.m_Until = Now + m_Options.m_StoreWait;
  Next.m_IsSent = tell(Name, DedupeState::Running, Sequence);
}

bool DedupeHome::tell(const std::string &Name, DedupeState State,
                      std::uint64_t Sequence) {
  if (!m_Options.m_Hooks.m_Second)
    return false;
  std::optional<model::Member> Second = m_Options.m_Hooks.m_Second(Name);
  auto Entry = entryOf(Name, State);
  if (!Second || !Entry)
    return false;
  wire::DedupeStoreT Message;
  Message.sequence = Sequence;
  Message.entries.push_back(std::move(Entry));
  return m_Options.m_Hooks.m_Store(*Second, std::move(Message));
}

std::unique_ptr<wire::DedupeEntryT>
DedupeHome::entryOf(const std::string &Name, DedupeState State) const {
  const policy::IdempotencyTable::Entry *Held = m_Table.find(Name);
  if (!Held)
    return nullptr;
  auto Entry = std::make_unique<wire::DedupeEntryT>();
  std::size_t Split = Name.find(Separator);
  Entry->customer = Name.substr(0, Split);
  Entry->key = Name.substr(Split + 1);
  Entry->body_hash = Held->m_RequestHash;
  Entry->state = static_cast<std::uint8_t>(State);
  if (const wire::AnswerT *Answer = answerOf(Name))
    Entry->answer = std::make_unique<wire::AnswerT>(*Answer);
  return Entry;
}

void DedupeHome::end(const std::string &Name, const wire::AnswerT &Answer,
                     absl::Time Now) {
  DedupeState State = stateOf(Answer);
  if (State == DedupeState::Finished)
    m_Table.finish(Name, keep(Answer), Answer.body.size(), Now);
  if (State == DedupeState::Unknown)
    m_Table.markUnknown(Name, Now);
  // The end of a run is news for the second, but nothing waits for its word.
  tell(Name, State, 0);
  if (State == DedupeState::Released)
    m_Table.release(Name);
  dropEvicted();
}

const wire::AnswerT *DedupeHome::answerOf(const std::string &Name) const {
  const policy::IdempotencyTable::Entry *Held = m_Table.find(Name);
  if (!Held)
    return nullptr;
  auto Found = m_Answers.find(Held->m_Answer);
  return Found == m_Answers.end() ? nullptr : &Found->second;
}

wire::DedupeAckT DedupeHome::onStore(wire::DedupeStoreT &Message,
                                     absl::Time Now) {
  wire::DedupeAckT Ack;
  Ack.sequence = Message.sequence;
  for (auto &Entry : Message.entries) {
    bool IsTaken = true;
    adopt(*Entry, Now, IsTaken);
    if (IsTaken)
      continue;
    std::string Name = nameOf(Entry->customer, Entry->key);
    if (const policy::IdempotencyTable::Entry *Held = m_Table.find(Name))
      Ack.entries.push_back(entryOf(Name, Held->m_State));
  }
  dropEvicted();
  return Ack;
}

void DedupeHome::adopt(wire::DedupeEntryT &Entry, absl::Time Now,
                       bool &IsTaken) {
  std::string Name = nameOf(Entry.customer, Entry.key);
  auto State = static_cast<DedupeState>(Entry.state);
  if (State == DedupeState::Released) {
    const policy::IdempotencyTable::Entry *Held = m_Table.find(Name);
    if (Held && Held->m_State == DedupeState::Remote)
      m_Table.release(Name);
    return;
  }
  if (State == DedupeState::Finished && !Entry.answer)
    State = DedupeState::Unknown;
  policy::OutcomeId Answer = 0;
  std::size_t Bytes = 0;
  if (State == DedupeState::Finished) {
    Answer = keep(*Entry.answer);
    Bytes = Entry.answer->body.size();
  }
  IsTaken = m_Table.adopt(Name, Entry.body_hash, State, Answer, Bytes, Now);
  if (!IsTaken)
    m_Answers.erase(Answer);
}

void DedupeHome::onAck(wire::DedupeAckT &Message, absl::Time Now) {
  auto Found = m_Pending.find(Message.sequence);
  if (Found == m_Pending.end())
    return;
  if (Message.entries.empty()) {
    complete(Message.sequence, Start::Stored, Now);
    return;
  }
  // The second knows this key: its word replaces the claim made here.
  m_Table.release(Found->second.m_Name);
  bool IsTaken = true;
  for (auto &Entry : Message.entries)
    adopt(*Entry, Now, IsTaken);
  complete(Message.sequence, Start::Known, Now);
}

void DedupeHome::complete(std::uint64_t Sequence, Start How, absl::Time Now) {
  Pending Done = std::move(m_Pending.at(Sequence));
  m_Pending.erase(Sequence);
  Done.m_OnDone(How, Now);
}

void DedupeHome::tick(absl::Time Now) {
  handOnSome();
  std::vector<std::uint64_t> Late;
  for (auto &[Sequence, Waiting] : m_Pending) {
    if (Now >= Waiting.m_Until)
      Late.push_back(Sequence);
    else if (!Waiting.m_IsSent)
      Waiting.m_IsSent = tell(Waiting.m_Name, DedupeState::Running, Sequence);
  }
  for (std::uint64_t Sequence : Late)
    complete(Sequence, Start::Refused, Now);
}

void DedupeHome::handOn() { m_ToHandOn = m_Table.names(); }

void DedupeHome::handOnSome() {
  for (std::size_t Left = std::min(m_ToHandOn.size(), HandOnBatch); Left > 0;
       --Left) {
    const std::string &Name = m_ToHandOn.back();
    const policy::IdempotencyTable::Entry *Held = m_Table.find(Name);
    if (Held && !tell(Name, Held->m_State, 0))
      return; // Its second has no link yet; the next tick tries again.
    m_ToHandOn.pop_back();
  }
}

policy::OutcomeId DedupeHome::keep(const wire::AnswerT &Answer) {
  m_Answers.emplace(++m_LastAnswer, Answer);
  return m_LastAnswer;
}

void DedupeHome::dropEvicted() {
  for (policy::OutcomeId Gone : m_Table.takeEvicted())
    m_Answers.erase(Gone);
}

} // namespace knapweedloft::app
