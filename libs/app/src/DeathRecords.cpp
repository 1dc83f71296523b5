#include "DeathRecords.h"

namespace knapweedloft::app {

void DeathRecords::update(const state::Snapshot &State) {
  for (auto Next = m_Due.begin(); Next != m_Due.end();) {
    auto Here = Next++;
    const model::Member *Listed = State.findMember(Here->first);
    if (!Listed || Listed->m_Incarnation != Here->second.m_Peer.m_Incarnation)
      m_Due.erase(Here);
  }
}

std::vector<state::Leave> DeathRecords::due(absl::Time Now) {
  std::vector<state::Leave> Leaves;
  for (auto &[Name, One] : m_Due) {
    if (Now < One.m_At)
      continue;
    One.m_At = Now + m_RepeatAfter;
    Leaves.push_back({.m_Name = Name,
                      .m_Incarnation = One.m_Peer.m_Incarnation,
                      .m_IsDeath = true});
  }
  return Leaves;
}

} // namespace knapweedloft::app
