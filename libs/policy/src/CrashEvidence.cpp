#include "policy/CrashEvidence.h"

#include "absl/container/flat_hash_set.h"

#include <algorithm>

namespace knapweedloft::policy {

using model::Fingerprint;

namespace {

/// Keeps the first of equal fingerprints, and none that is unknown.
void keepDistinct(std::vector<Fingerprint> &Requests) {
  absl::flat_hash_set<Fingerprint> Seen;
  std::erase_if(Requests, [&Seen](Fingerprint Request) {
    return Request == 0 || !Seen.insert(Request).second;
  });
}

} // namespace

bool CrashEvidence::counts(const TargetCrash &Crash,
                           Fingerprint Request) const {
  auto Completed = m_Completions.find(Request);
  return Completed == m_Completions.end() ||
         Crash.m_At > Completed->second.m_At + m_Settings.m_CompletionPeriod;
}

absl::Time CrashEvidence::allKnowAt(
    const std::vector<const TargetCrash *> &Crashes) const {
  if (Crashes.size() < m_Settings.m_QuarantineCrashes)
    return absl::InfiniteFuture();
  return Crashes[m_Settings.m_QuarantineCrashes - 1]->m_At +
         m_Settings.m_ExplanationPeriod;
}

std::size_t CrashEvidence::retriesSpent(
    const std::vector<const TargetCrash *> &Crashes) const {
  absl::Time Known = allKnowAt(Crashes);
  return static_cast<std::size_t>(std::count_if(
      Crashes.begin(), Crashes.end(),
      [Known](const TargetCrash *Crash) { return Crash->m_At > Known; }));
}

absl::Time CrashEvidence::quarantineEnd(
    const std::vector<const TargetCrash *> &Crashes) const {
  std::size_t Period = std::min(retriesSpent(Crashes),
                                m_Settings.m_QuarantinePeriods.size() - 1);
  return Crashes.back()->m_At + m_Settings.m_QuarantinePeriods[Period];
}

bool CrashEvidence::isForgotten(const std::vector<const TargetCrash *> &Crashes,
                                absl::Time At) const {
  if (Crashes.size() < m_Settings.m_QuarantineCrashes)
    return At - Crashes.back()->m_At > m_Settings.m_EvidencePeriod;
  return At - quarantineEnd(Crashes) > m_Settings.m_ProbationPeriod;
}

std::vector<const TargetCrash *>
CrashEvidence::remembered(std::vector<const TargetCrash *> Crashes,
                          absl::Time Now) const {
  std::sort(Crashes.begin(), Crashes.end(),
            [](const TargetCrash *Left, const TargetCrash *Right) {
              return Left->m_At < Right->m_At;
            });
  std::vector<const TargetCrash *> Remembered;
  for (const TargetCrash *Crash : Crashes) {
    if (!Remembered.empty() && isForgotten(Remembered, Crash->m_At))
      Remembered.clear();
    Remembered.push_back(Crash);
  }
  if (!Remembered.empty() && isForgotten(Remembered, Now))
    Remembered.clear();
  return Remembered;
}

RequestJudgement CrashEvidence::judge(Fingerprint Request,
                                      absl::Time Now) const {
  RequestJudgement Found;
  std::vector<const TargetCrash *> Crashes = crashesOf(Request, Now);
  Found.m_Explained = static_cast<unsigned>(explainedOf(Crashes, Request, Now));
  Found.m_Crashes = static_cast<unsigned>(Crashes.size()) - Found.m_Explained;
  if (Crashes.size() < m_Settings.m_SuspectCrashes)
    return Found;
  Found.m_Standing = Crashes.size() < m_Settings.m_QuarantineCrashes
                         ? RequestStanding::Suspect
                         : RequestStanding::Isolated;
  if (Found.m_Crashes < m_Settings.m_QuarantineCrashes)
    return Found;
  Found.m_Until = quarantineEnd(Crashes);
  Found.m_IsConfirmed = retriesSpent(Crashes) > 0;
  Found.m_Standing = Now < Found.m_Until ? RequestStanding::Quarantined
                                         : RequestStanding::Probation;
  return Found;
}

std::vector<Fingerprint>
CrashEvidence::suspectsOf(std::span<const Fingerprint> InFlight,
                          absl::Time Now) const {
  std::vector<Fingerprint> Suspects;
  for (Fingerprint Request : InFlight) {
    auto Completed = m_Completions.find(Request);
    bool IsCleared =
        Completed != m_Completions.end() &&
        Now <= Completed->second.m_At + m_Settings.m_CompletionPeriod;
    if (!IsCleared)
      Suspects.push_back(Request);
  }
  keepDistinct(Suspects);
  std::size_t Excess = Suspects.size() > m_Settings.m_MaxInFlight
                           ? Suspects.size() - m_Settings.m_MaxInFlight
                           : 0;
  // From the back, as those were started first.
  for (auto Last = Suspects.end(); Excess > 0 && Last != Suspects.begin();) {
    --Last;
    if (m_ByRequest.contains(*Last))
      continue;
    Last = Suspects.erase(Last);
    --Excess;
  }
  return Suspects;
}

bool CrashEvidence::isKnown(const TargetCrash &Crash) const {
  return std::any_of(m_Crashes.begin(), m_Crashes.end(),
                     [&](const auto &Entry) {
                       const TargetCrash &Known = Entry.second;
                       return Known.m_Daemon == Crash.m_Daemon &&
                              Known.m_Incarnation == Crash.m_Incarnation &&
                              Known.m_Sequence == Crash.m_Sequence;
                     });
}

bool CrashEvidence::addCrash(TargetCrash Crash, absl::Time Now) {
  if (isKnown(Crash) || Now - Crash.m_At > longestRetention())
    return false;
  keepDistinct(Crash.m_InFlight);
  if (Crash.m_InFlight.size() > m_Settings.m_MaxInFlight)
    Crash.m_InFlight.resize(m_Settings.m_MaxInFlight);
  CrashNumber Number = ++m_LastCrash;
  for (Fingerprint Request : Crash.m_InFlight)
    m_ByRequest[Request].push_back(Number);
  m_Fingerprints += Crash.m_InFlight.size();
  m_Crashes.emplace(Number, std::move(Crash));
  limitFingerprints();
  return true;
}

bool CrashEvidence::addOwnCompletion(Fingerprint Request, absl::Time Now) {
  expireCompletions(Now);
  bool ClearsSuspect = judge(Request, Now).m_Standing != RequestStanding::Clear;
  m_Completions[Request] = {.m_At = Now, .m_IsOwn = true};
  m_RecentCompletions.emplace_back(Request, Now);
  return ClearsSuspect;
}

void CrashEvidence::addCompletion(Fingerprint Request, absl::Time At) {
  if (Request == 0)
    return;
  CompletionTime &Known = m_Completions[Request];
  if (Known.m_At >= At)
    return;
  Known = {.m_At = At};
  m_RecentCompletions.emplace_back(Request, At);
}

std::vector<CrashEvidence::Completion>
CrashEvidence::completionsAgainst(const TargetCrash &Crash) const {
  std::vector<Completion> Found;
  for (Fingerprint Request : Crash.m_InFlight) {
    auto Completed = m_Completions.find(Request);
    auto Known = m_ByRequest.find(Request);
    if (Completed == m_Completions.end() || !Completed->second.m_IsOwn ||
        Known == m_ByRequest.end() ||
        Known->second.size() < m_Settings.m_SuspectCrashes)
      continue;
    bool Clears = std::any_of(Known->second.begin(), Known->second.end(),
                              [&](CrashNumber Number) {
                                return !counts(m_Crashes.at(Number), Request);
                              });
    if (Clears)
      Found.emplace_back(Request, Completed->second.m_At);
  }
  return Found;
}

std::vector<CrashEvidence::Completion> CrashEvidence::completions() const {
  std::vector<Completion> Found;
  for (const auto &[Request, Numbers] : m_ByRequest) {
    auto Completed = m_Completions.find(Request);
    if (Completed != m_Completions.end() &&
        Numbers.size() >= m_Settings.m_SuspectCrashes)
      Found.emplace_back(Request, Completed->second.m_At);
  }
  return Found;
}

std::vector<const TargetCrash *>
CrashEvidence::crashesOf(Fingerprint Request, absl::Time Now) const {
  std::vector<const TargetCrash *> Found;
  auto Known = m_ByRequest.find(Request);
  if (Known == m_ByRequest.end())
    return Found;
  for (CrashNumber Number : Known->second)
    if (const TargetCrash &Crash = m_Crashes.at(Number); counts(Crash, Request))
      Found.push_back(&Crash);
  return remembered(std::move(Found), Now);
}

bool CrashEvidence::isExplained(const TargetCrash &Crash, Fingerprint Request,
                                absl::Time Now) const {
  std::size_t Needed = m_Settings.m_SuspectCrashes;
  // The list begins with the request that was started last.
  for (Fingerprint Other : Crash.m_InFlight) {
    if (Other == Request)
      return false;
    if (m_ByRequest.at(Other).size() >= Needed &&
        crashesOf(Other, Now).size() >= Needed)
      return true;
  }
  return false;
}

std::size_t
CrashEvidence::explainedOf(const std::vector<const TargetCrash *> &Crashes,
                           Fingerprint Request, absl::Time Now) const {
  // A single crash gives no standing, whatever explains it.
  if (Crashes.size() < m_Settings.m_SuspectCrashes)
    return 0;
  absl::Time Last = allKnowAt(Crashes);
  return static_cast<std::size_t>(std::count_if(
      Crashes.begin(), Crashes.end(), [&](const TargetCrash *Crash) {
        return Crash->m_At <= Last && isExplained(*Crash, Request, Now);
      }));
}

std::vector<const TargetCrash *>
CrashEvidence::crashesBy(const std::string &Daemon) const {
  std::vector<const TargetCrash *> Found;
  for (CrashNumber Number : oldestFirst())
    if (const TargetCrash &Crash = m_Crashes.at(Number);
        Crash.m_Daemon == Daemon)
      Found.push_back(&Crash);
  return Found;
}

std::vector<Fingerprint> CrashEvidence::requestsOf(RequestStanding Standing,
                                                   absl::Time Now) const {
  std::vector<Fingerprint> Found;
  for (const auto &[Request, Numbers] : m_ByRequest)
    if (judge(Request, Now).m_Standing == Standing)
      Found.push_back(Request);
  return Found;
}

std::vector<CrashEvidence::CrashNumber> CrashEvidence::oldestFirst() const {
  std::vector<std::pair<absl::Time, CrashNumber>> Sorted;
  for (const auto &[Number, Crash] : m_Crashes)
    Sorted.emplace_back(Crash.m_At, Number);
  std::sort(Sorted.begin(), Sorted.end());
  std::vector<CrashNumber> Numbers;
  Numbers.reserve(Sorted.size());
  for (const auto &[At, Number] : Sorted)
    Numbers.push_back(Number);
  return Numbers;
}

template <typename PredicateT>
void CrashEvidence::dropIf(CrashNumber Number, PredicateT IsDropped) {
  TargetCrash &Crash = m_Crashes.at(Number);
  std::size_t Before = Crash.m_InFlight.size();
  std::erase_if(Crash.m_InFlight, [&](Fingerprint Request) {
    if (!IsDropped(Request))
      return false;
    std::vector<CrashNumber> &Numbers = m_ByRequest.at(Request);
    std::erase(Numbers, Number);
    if (Numbers.empty()) {
      m_ByRequest.erase(Request);
      m_Completions.erase(Request);
    }
    return true;
  });
  m_Fingerprints -= Before - Crash.m_InFlight.size();
  if (Crash.m_InFlight.empty())
    m_Crashes.erase(Number);
}

void CrashEvidence::limitFingerprints() {
  if (m_Fingerprints <= m_Settings.m_MaxFingerprints)
    return;
  // Some room is made at once, as finding the oldest crashes takes long.
  std::size_t Kept = m_Settings.m_MaxFingerprints / 8 * 7;
  for (bool IsAnyDropped : {false, true})
    for (CrashNumber Number : oldestFirst()) {
      if (m_Fingerprints <= Kept)
        return;
      dropIf(Number, [&](Fingerprint Request) {
        return IsAnyDropped || m_ByRequest.at(Request).size() == 1;
      });
    }
}

absl::Duration CrashEvidence::longestRetention() const {
  return m_Settings.m_QuarantinePeriods.back() + m_Settings.m_ProbationPeriod;
}

bool CrashEvidence::isExpired(const TargetCrash &Crash, Fingerprint Request,
                              absl::Time Now) const {
  // Crashes that a completion cleared are kept like the others, and with them
  // the completion, as long as a report may bring them again.
  std::vector<const TargetCrash *> Crashes;
  for (CrashNumber Number : m_ByRequest.at(Request))
    Crashes.push_back(&m_Crashes.at(Number));
  Crashes = remembered(std::move(Crashes), Now);
  return std::find(Crashes.begin(), Crashes.end(), &Crash) == Crashes.end();
}

void CrashEvidence::expireCompletions(absl::Time Now) {
  while (!m_RecentCompletions.empty() &&
         (m_RecentCompletions.size() >= m_Settings.m_MaxCompletions ||
          Now - m_RecentCompletions.front().second >
              m_Settings.m_CompletionRetention)) {
    auto [Request, At] = m_RecentCompletions.front();
    m_RecentCompletions.pop_front();
    auto Known = m_Completions.find(Request);
    if (Known != m_Completions.end() && Known->second.m_At == At &&
        !m_ByRequest.contains(Request))
      m_Completions.erase(Known);
  }
}

void CrashEvidence::expire(absl::Time Now) {
  expireCompletions(Now);
  for (CrashNumber Number : oldestFirst()) {
    const TargetCrash &Crash = m_Crashes.at(Number);
    dropIf(Number,
           [&](Fingerprint Request) { return isExpired(Crash, Request, Now); });
  }
}

} // namespace knapweedloft::policy
