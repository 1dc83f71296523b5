#include "policy/ForwardLedger.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::policy {

ForwardBeginResult ForwardLedger::begin(const model::ForwardId &Id,
                                        absl::Time Now) {
  expire(Now);
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end()) {
    if (isDropped(Id))
      return ForwardBeginResult::Closed;
    m_Entries.emplace(Id, Entry());
    return ForwardBeginResult::Fresh;
  }
  switch (Found->second.m_State) {
  case State::Running:
    return ForwardBeginResult::Running;
  case State::Finished:
    return ForwardBeginResult::Finished;
  case State::Closed:
    break;
  }
  return ForwardBeginResult::Closed;
}

void ForwardLedger::finish(const model::ForwardId &Id, OutcomeId Outcome,
                           std::size_t Bytes, absl::Time Now) {
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end() || Found->second.m_State != State::Running)
    return;
  Found->second = {State::Finished, Outcome, Bytes};
  m_OutcomeBytes += Bytes;
  m_Ended.push_back({Id, Now});
  expire(Now);
}

ForwardStatus ForwardLedger::query(const model::ForwardId &Id, absl::Time Now) {
  expire(Now);
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end()) {
    if (isDropped(Id))
      return ForwardStatus::Unknown;
    m_Entries.emplace(Id, Entry{State::Closed});
    m_Ended.push_back({Id, Now});
    return ForwardStatus::NotRun;
  }
  switch (Found->second.m_State) {
  case State::Running:
    return ForwardStatus::Running;
  case State::Finished:
    return ForwardStatus::Finished;
  case State::Closed:
    break;
  }
  return ForwardStatus::NotRun;
}

OutcomeId ForwardLedger::outcomeOf(const model::ForwardId &Id) const {
  auto Found = m_Entries.find(Id);
  return Found == m_Entries.end() ? 0 : Found->second.m_Outcome;
}

std::vector<OutcomeId> ForwardLedger::takeEvicted() {
  return std::exchange(m_Evicted, {});
}

bool ForwardLedger::isDropped(const model::ForwardId &Id) const {
  auto Found = m_HighestDropped.find(Id.m_Entry);
  return Found != m_HighestDropped.end() && Id.m_Sequence <= Found->second;
}

void ForwardLedger::expire(absl::Time Now) {
  while (!m_Ended.empty() &&
         (m_Ended.size() > m_Settings.m_MaxEntries ||
          Now - m_Ended.front().m_At > m_Settings.m_RetentionPeriod))
    dropOldest();
  // Above the byte limit evict outcomes first; the record that the forward ran
  // stays.
  while (m_OutcomeBytes > m_Settings.m_MaxOutcomeBytes &&
         m_FirstWithOutcome < m_Ended.size())
    evict(m_Entries.at(m_Ended[m_FirstWithOutcome++].m_Id));
}

void ForwardLedger::dropOldest() {
  const model::ForwardId Id = m_Ended.front().m_Id;
  auto Found = m_Entries.find(Id);
  evict(Found->second);
  m_Entries.erase(Found);
  std::uint64_t &Highest = m_HighestDropped[Id.m_Entry];
  Highest = std::max(Highest, Id.m_Sequence);
  m_Ended.pop_front();
  if (m_FirstWithOutcome > 0)
    --m_FirstWithOutcome;
}

void ForwardLedger::evict(Entry &Record) {
  m_OutcomeBytes -= std::exchange(Record.m_Bytes, 0);
  OutcomeId Evicted = std::exchange(Record.m_Outcome, 0);
  if (Evicted != 0)
    m_Evicted.push_back(Evicted);
}

} // namespace knapweedloft::policy
