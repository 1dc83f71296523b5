#include "policy/PoisonRequestDetector.h"

namespace knapweedloft::policy {
namespace {

using Expiries = absl::flat_hash_map<model::Fingerprint, absl::Time>;

bool isUnexpired(const Expiries &List, model::Fingerprint Request,
                 absl::Time Now) {
  auto Found = List.find(Request);
  return Found != List.end() && Now < Found->second;
}

} // namespace

bool PoisonRequestDetector::isSuspect(model::Fingerprint Request,
                                      absl::Time Now) const {
  return isUnexpired(m_Suspects, Request, Now);
}

bool PoisonRequestDetector::isQuarantined(model::Fingerprint Request,
                                          absl::Time Now) const {
  return isUnexpired(m_Quarantined, Request, Now);
}

bool PoisonRequestDetector::mayStart(model::Fingerprint Request,
                                     absl::Time Now) const {
  return m_RunningSuspect == 0 || !isSuspect(Request, Now);
}

void PoisonRequestDetector::start(model::Fingerprint Request, absl::Time Now) {
  if (m_RunningSuspect == 0 && isSuspect(Request, Now))
    m_RunningSuspect = Request;
}

void PoisonRequestDetector::end(model::Fingerprint Request, bool IsSuccess) {
  if (Request == m_RunningSuspect)
    m_RunningSuspect = 0;
  if (IsSuccess)
    m_Suspects.erase(Request);
}

PoisonRequestDetector::CrashFindings
PoisonRequestDetector::onCrash(std::span<const model::Fingerprint> InFlight,
                               absl::Time Now) {
  expire(Now);
  CrashFindings Findings;
  for (model::Fingerprint Request : InFlight)
    if (isSuspect(Request, Now))
      Findings.m_Quarantined.push_back(Request);
  addQuarantined(Findings.m_Quarantined, Now);
  if (!Findings.m_Quarantined.empty())
    return Findings; // The suspects that ran explain the crash.
  Findings.m_Suspects.assign(InFlight.begin(), InFlight.end());
  addSuspects(Findings.m_Suspects, Now);
  return Findings;
}

void PoisonRequestDetector::addSuspects(
    std::span<const model::Fingerprint> Requests, absl::Time Now) {
  for (model::Fingerprint Request : Requests)
    if (m_Suspects.size() < m_Settings.m_MaxSuspects)
      m_Suspects[Request] = Now + m_Settings.m_SuspectPeriod;
}

void PoisonRequestDetector::addQuarantined(
    std::span<const model::Fingerprint> Requests, absl::Time Now) {
  for (model::Fingerprint Request : Requests) {
    m_Suspects.erase(Request);
    m_Quarantined[Request] = Now + m_Settings.m_QuarantinePeriod;
  }
}

void PoisonRequestDetector::expire(absl::Time Now) {
  absl::erase_if(m_Suspects,
                 [Now](const auto &Entry) { return Entry.second <= Now; });
  absl::erase_if(m_Quarantined,
                 [Now](const auto &Entry) { return Entry.second <= Now; });
}

} // namespace knapweedloft::policy
