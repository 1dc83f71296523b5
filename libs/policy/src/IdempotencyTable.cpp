#include "policy/IdempotencyTable.h"

#include <utility>

namespace knapweedloft::policy {

DedupeClaim IdempotencyTable::claim(const std::string &Name,
                                    std::uint64_t RequestHash, absl::Time Now) {
  expire(Now);
  auto Found = m_Entries.find(Name);
  if (Found == m_Entries.end()) {
    if (m_Entries.size() >= m_Settings.m_MaxEntries)
      return DedupeClaim::Full;
    Entry &Fresh = m_Entries[Name];
    Fresh.m_RequestHash = RequestHash;
    Fresh.m_Changed = Now;
    return DedupeClaim::Fresh;
  }
  if (Found->second.m_RequestHash != RequestHash)
    return DedupeClaim::Mismatch;
  switch (Found->second.m_State) {
  case DedupeState::Running:
    return DedupeClaim::Wait;
  case DedupeState::Finished:
    return DedupeClaim::Replay;
  default:
    return DedupeClaim::Unknown;
  }
}

void IdempotencyTable::finish(const std::string &Name, OutcomeId Answer,
                              std::size_t Bytes, absl::Time Now) {
  auto Found = m_Entries.find(Name);
  if (Found == m_Entries.end())
    return;
  update(Name, Found->second, DedupeState::Finished, Answer, Bytes, Now);
  evictAnswers();
}

void IdempotencyTable::markUnknown(const std::string &Name, absl::Time Now) {
  auto Found = m_Entries.find(Name);
  if (Found != m_Entries.end())
    update(Name, Found->second, DedupeState::Unknown, 0, 0, Now);
}

void IdempotencyTable::release(const std::string &Name) {
  auto Found = m_Entries.find(Name);
  if (Found == m_Entries.end() ||
      Found->second.m_State == DedupeState::Finished ||
      Found->second.m_State == DedupeState::Unknown)
    return;
  dropAnswer(Found->second);
  m_Entries.erase(Found);
}

bool IdempotencyTable::adopt(const std::string &Name, std::uint64_t RequestHash,
                             DedupeState State, OutcomeId Answer,
                             std::size_t Bytes, absl::Time Now) {
  expire(Now);
  auto [Found, IsNew] = m_Entries.try_emplace(Name);
  Entry &Record = Found->second;
  if (IsNew) {
    Record.m_RequestHash = RequestHash;
    Record.m_State = DedupeState::Remote;
  }
  bool IsStart = State == DedupeState::Running || State == DedupeState::Remote;
  // A local run reports its own end, and an answer is never replaced.
  bool IsUpdatable = Record.m_State == DedupeState::Remote ||
                     Record.m_State == DedupeState::Unknown;
  if (!IsNew &&
      (IsStart || !IsUpdatable || Record.m_RequestHash != RequestHash))
    return false;
  update(Name, Record, IsStart ? DedupeState::Remote : State, Answer, Bytes,
         Now);
  evictAnswers();
  return true;
}

const IdempotencyTable::Entry *
IdempotencyTable::find(const std::string &Name) const {
  auto Found = m_Entries.find(Name);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

std::vector<std::string> IdempotencyTable::names() const {
  std::vector<std::string> Names;
  Names.reserve(m_Entries.size());
  for (const auto &[Name, Record] : m_Entries)
    Names.push_back(Name);
  return Names;
}

std::vector<OutcomeId> IdempotencyTable::takeEvicted() {
  return std::exchange(m_Evicted, {});
}

void IdempotencyTable::update(const std::string &Name, Entry &Record,
                              DedupeState State, OutcomeId Answer,
                              std::size_t Bytes, absl::Time Now) {
  dropAnswer(Record);
  Record.m_State = State;
  Record.m_Answer = Answer;
  Record.m_Bytes = Bytes;
  Record.m_Changed = Now;
  m_AnswerBytes += Bytes;
  m_Changes.push_back({Name, Now});
  if (Answer != 0)
    m_AnswerOrder.push_back(Name);
}

void IdempotencyTable::dropAnswer(Entry &Record) {
  m_AnswerBytes -= std::exchange(Record.m_Bytes, 0);
  OutcomeId Evicted = std::exchange(Record.m_Answer, 0);
  if (Evicted != 0)
    m_Evicted.push_back(Evicted);
}

void IdempotencyTable::expire(absl::Time Now) {
  while (!m_Changes.empty() &&
         Now - m_Changes.front().m_At > m_Settings.m_RetentionPeriod) {
    auto Found = m_Entries.find(m_Changes.front().m_Name);
    if (Found != m_Entries.end() &&
        Found->second.m_State != DedupeState::Running &&
        Now - Found->second.m_Changed > m_Settings.m_RetentionPeriod) {
      dropAnswer(Found->second);
      m_Entries.erase(Found);
    }
    m_Changes.pop_front();
  }
}

void IdempotencyTable::evictAnswers() {
  while (m_AnswerBytes > m_Settings.m_MaxAnswerBytes &&
         !m_AnswerOrder.empty()) {
    auto Found = m_Entries.find(m_AnswerOrder.front());
    if (Found != m_Entries.end() && Found->second.m_Answer != 0) {
      dropAnswer(Found->second);
      Found->second.m_State = DedupeState::Unknown;
    }
    m_AnswerOrder.pop_front();
  }
}

} // namespace knapweedloft::policy
