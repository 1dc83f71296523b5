#include "policy/DeathWatch.h"

namespace knapweedloft::policy {
namespace {

using Deadlines = absl::flat_hash_map<model::Fingerprint, absl::Time>;

bool isListed(const Deadlines &List, model::Fingerprint Print, absl::Time Now) {
  auto Found = List.find(Print);
  return Found != List.end() && Now < Found->second;
}

} // namespace

bool DeathWatch::isSuspect(model::Fingerprint Print, absl::Time Now) const {
  return isListed(m_Suspects, Print, Now);
}

bool DeathWatch::isQuarantined(model::Fingerprint Print, absl::Time Now) const {
  return isListed(m_Culprits, Print, Now);
}

bool DeathWatch::mayStart(model::Fingerprint Print, absl::Time Now) const {
  return m_RunningSuspect == 0 || !isSuspect(Print, Now);
}

void DeathWatch::start(model::Fingerprint Print, absl::Time Now) {
  if (m_RunningSuspect == 0 && isSuspect(Print, Now))
    m_RunningSuspect = Print;
}

void DeathWatch::end(model::Fingerprint Print, bool IsSuccess) {
  if (Print == m_RunningSuspect)
    m_RunningSuspect = 0;
  if (IsSuccess)
    m_Suspects.erase(Print);
}

DeathWatch::Death
DeathWatch::onDeath(std::span<const model::Fingerprint> InFlight,
                    absl::Time Now) {
  expire(Now);
  Death Learned;
  for (model::Fingerprint Print : InFlight)
    if (isSuspect(Print, Now))
      Learned.m_Culprits.push_back(Print);
  addCulprits(Learned.m_Culprits, Now);
  if (!Learned.m_Culprits.empty())
    return Learned; // They explain the death.
  Learned.m_Suspects.assign(InFlight.begin(), InFlight.end());
  addSuspects(Learned.m_Suspects, Now);
  return Learned;
}

void DeathWatch::addSuspects(std::span<const model::Fingerprint> Prints,
                             absl::Time Now) {
  for (model::Fingerprint Print : Prints)
    if (m_Suspects.size() < m_Settings.m_MaxSuspects)
      m_Suspects[Print] = Now + m_Settings.m_SuspectFor;
}

void DeathWatch::addCulprits(std::span<const model::Fingerprint> Prints,
                             absl::Time Now) {
  for (model::Fingerprint Print : Prints) {
    m_Suspects.erase(Print);
    m_Culprits[Print] = Now + m_Settings.m_QuarantineFor;
  }
}

void DeathWatch::expire(absl::Time Now) {
  absl::erase_if(m_Suspects,
                 [Now](const auto &Held) { return Held.second <= Now; });
  absl::erase_if(m_Culprits,
                 [Now](const auto &Held) { return Held.second <= Now; });
}

} // namespace knapweedloft::policy
