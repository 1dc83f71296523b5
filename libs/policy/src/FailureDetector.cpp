#include "policy/FailureDetector.h"

#include "absl/random/uniform_int_distribution.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::policy {

void FailureDetector::watch(const std::vector<PeerIncarnation> &Peers,
                            absl::Time Now) {
  absl::flat_hash_map<std::string, Watched> Next;
  for (const PeerIncarnation &Peer : Peers) {
    auto Found = m_Watched.find(Peer.m_Name);
    bool IsKnown = Found != m_Watched.end() &&
                   Found->second.m_Incarnation == Peer.m_Incarnation;
    Watched State = IsKnown ? Found->second : Watched();
    if (!IsKnown) {
      State.m_Incarnation = Peer.m_Incarnation;
      State.m_ReachableAt = Now;
    }
    Next.emplace(Peer.m_Name, State);
  }
  m_Watched = std::move(Next);
}

void FailureDetector::onReceived(const std::string &Name, absl::Time Now) {
  auto Found = m_Watched.find(Name);
  if (Found == m_Watched.end())
    return;
  Watched &Peer = Found->second;
  Peer.m_ReachableAt = std::max(Peer.m_ReachableAt, Now);
  Peer.m_IsReportedUnreachable = false;
  Peer.m_HasRecovered |= Peer.m_Liveness != Liveness::Alive;
  Peer.m_Liveness = Liveness::Alive;
}

void FailureDetector::onIndirectProbeResult(const std::string &Name,
                                            bool IsAlive, absl::Time Now) {
  if (IsAlive)
    return onReceived(Name, Now);
  auto Found = m_Watched.find(Name);
  if (Found != m_Watched.end())
    Found->second.m_IsReportedUnreachable = true;
}

std::vector<DetectorStep>
FailureDetector::tick(const std::vector<std::string> &Helpers,
                      absl::BitGenRef Random, absl::Time Now) {
  compensatePause(Now);
  std::vector<DetectorStep> Steps;
  for (auto &[Name, Peer] : m_Watched) {
    if (std::exchange(Peer.m_HasRecovered, false))
      Steps.push_back({DetectorStep::Kind::Recovered,
                       {Name, Peer.m_Incarnation},
                       std::string()});
    if (Now < Peer.m_ReachableAt + m_Settings.m_SilentAfter)
      continue;
    updateLiveness(Name, Peer, Now, Steps);
    probe(Name, Peer, Helpers, Random, Now, Steps);
  }
  return Steps;
}

Liveness FailureDetector::livenessOf(const std::string &Name) const {
  auto Found = m_Watched.find(Name);
  return Found == m_Watched.end() ? Liveness::Alive : Found->second.m_Liveness;
}

void FailureDetector::compensatePause(absl::Time Now) {
  absl::Duration Gap = Now - m_LastTickAt;
  bool IsFirst = m_LastTickAt == absl::InfinitePast();
  m_LastTickAt = Now;
  if (IsFirst || Gap <= m_Settings.m_PauseThreshold)
    return;
  for (auto &[Name, Peer] : m_Watched) {
    Peer.m_ReachableAt = std::min(Peer.m_ReachableAt + Gap, Now);
    Peer.m_SuspectedAt += Gap;
  }
}

void FailureDetector::updateLiveness(const std::string &Name, Watched &Peer,
                                     absl::Time Now,
                                     std::vector<DetectorStep> &Steps) {
  // The helpers get a round of probes first: nothing is concluded before one of
  // them has reported the peer unreachable.
  if (!Peer.m_IsReportedUnreachable || Peer.m_Liveness == Liveness::Dead)
    return;
  PeerIncarnation Subject{Name, Peer.m_Incarnation};
  if (Peer.m_Liveness == Liveness::Alive) {
    Peer.m_Liveness = Liveness::Suspect;
    Peer.m_SuspectedAt = Now;
    Steps.push_back({DetectorStep::Kind::Suspected, Subject, std::string()});
    return;
  }
  if (Now < Peer.m_SuspectedAt + m_Settings.m_SuspicionTimeout)
    return;
  Peer.m_Liveness = Liveness::Dead;
  Steps.push_back({DetectorStep::Kind::DeclaredDead, Subject, std::string()});
}

void FailureDetector::probe(const std::string &Name, Watched &Peer,
                            const std::vector<std::string> &Helpers,
                            absl::BitGenRef Random, absl::Time Now,
                            std::vector<DetectorStep> &Steps) {
  if (Now < Peer.m_ProbedAt + m_Settings.m_ProbeInterval || Helpers.empty())
    return;
  Peer.m_ProbedAt = Now;
  std::size_t Start = absl::uniform_int_distribution<std::size_t>(
      0, Helpers.size() - 1)(Random);
  std::size_t Asked = 0;
  for (std::size_t Step = 0;
       Step < Helpers.size() && Asked < m_Settings.m_HelpersPerRound; ++Step) {
    const std::string &Helper = Helpers[(Start + Step) % Helpers.size()];
    if (Helper == Name)
      continue;
    ++Asked;
    Steps.push_back({DetectorStep::Kind::IndirectProbe,
                     {Name, Peer.m_Incarnation},
                     Helper});
  }
}

} // namespace knapweedloft::policy
