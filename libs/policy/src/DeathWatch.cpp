#include "policy/DeathWatch.h"

namespace knapweedloft::policy {
namespace {

using Expiries = absl::flat_hash_map<model::Fingerprint, absl::Time>;

bool isUnexpired(const Expiries &List, model::Fingerprint Request,
                 absl::Time Now) {
  auto Found = List.find(Request);
  return Found != List.end() && Now < Found->second;
}

} // namespace

bool DeathWatch::isSuspect(model::Fingerprint Request, absl::Time Now) const {
  return isUnexpired(m_Suspects, Request, Now);
}

bool DeathWatch::isQuarantined(model::Fingerprint Request,
                               absl::Time Now) const {
  return isUnexpired(m_Culprits, Request, Now);
}

bool DeathWatch::mayStart(model::Fingerprint Request, absl::Time Now) const {
  return m_RunningSuspect == 0 || !isSuspect(Request, Now);
}

void DeathWatch::start(model::Fingerprint Request, absl::Time Now) {
  if (m_RunningSuspect == 0 && isSuspect(Request, Now))
    m_RunningSuspect = Request;
}

void DeathWatch::end(model::Fingerprint Request, bool IsSuccess) {
  if (Request == m_RunningSuspect)
    m_RunningSuspect = 0;
  if (IsSuccess)
    m_Suspects.erase(Request);
}

DeathWatch::Death
DeathWatch::onDeath(std::span<const model::Fingerprint> InFlight,
                    absl::Time Now) {
  expire(Now);
  Death Findings;
  for (model::Fingerprint Request : InFlight)
    if (isSuspect(Request, Now))
      Findings.m_Culprits.push_back(Request);
  addCulprits(Findings.m_Culprits, Now);
  if (!Findings.m_Culprits.empty())
    return Findings; // The suspects that ran explain the crash.
  Findings.m_Suspects.assign(InFlight.begin(), InFlight.end());
  addSuspects(Findings.m_Suspects, Now);
  return Findings;
}

void DeathWatch::addSuspects(std::span<const model::Fingerprint> Requests,
                             absl::Time Now) {
  for (model::Fingerprint Request : Requests)
    if (m_Suspects.size() < m_Settings.m_MaxSuspects)
      m_Suspects[Request] = Now + m_Settings.m_SuspectPeriod;
}

void DeathWatch::addCulprits(std::span<const model::Fingerprint> Requests,
                             absl::Time Now) {
  for (model::Fingerprint Request : Requests) {
    m_Suspects.erase(Request);
    m_Culprits[Request] = Now + m_Settings.m_QuarantineFor;
  }
}

void DeathWatch::expire(absl::Time Now) {
  absl::erase_if(m_Suspects,
                 [Now](const auto &Entry) { return Entry.second <= Now; });
  absl::erase_if(m_Culprits,
                 [Now](const auto &Entry) { return Entry.second <= Now; });
}

} // namespace knapweedloft::policy
