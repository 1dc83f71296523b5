#include "mesh/PeerLinks.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {

PeerLinks::PeerLinks(Options Settings, ComponentLog Log)
    : m_Options(std::move(Settings)), m_Log(Log) {}

PeerLinks::Peer &PeerLinks::peerNamed(const model::Member &Member,
                                      absl::Time Now) {
  auto Found = m_Peers.find(Member.m_Name);
  if (Found != m_Peers.end())
    return Found->second;
  bool IsOpener = m_Options.m_Self.m_Name < Member.m_Name;
  Peer Added{.m_Member = Member,
             .m_NextConnect = IsOpener ? Now : Now + m_Options.m_AcceptorDelay,
             .m_RetryDelay = m_Options.m_MinRetryDelay,
             .m_LastLinked = Now};
  return m_Peers.emplace(Member.m_Name, std::move(Added)).first->second;
}

void PeerLinks::onMember(const model::Member &Member, absl::Time Now) {
  if (Member.m_Name == m_Options.m_Self.m_Name)
    return;
  Peer &Remote = peerNamed(Member, Now);
  // The greeting on a link is newer than any record in the store.
  if (Remote.m_Links.empty())
    Remote.m_Member = Member;
}

void PeerLinks::onMemberRemoved(const std::string &Name) {
  auto Found = m_Peers.find(Name);
  if (Found != m_Peers.end() && Found->second.m_Links.empty())
    m_Peers.erase(Found);
}

void PeerLinks::onUp(link::PeerHandle Link, const model::Member &Member,
                     absl::Time Now) {
  Peer &Remote = peerNamed(Member, Now);
  if (Remote.m_Member.m_Incarnation != Member.m_Incarnation) {
    Remote.m_TargetState = {};
    for (link::PeerHandle OldLink : Remote.m_Links)
      m_Options.m_Hooks.m_Close(OldLink);
  }
  Remote.m_Member = Member;
  Remote.m_Links.push_back(Link);
  Remote.m_RetryDelay = m_Options.m_MinRetryDelay;
  m_ByLink[Link] = Member.m_Name;
  m_Log.state("A link to a peer is up.", {{"peer", Member.m_Name},
                                          {"service", Member.m_Service},
                                          {"incarnation", Member.m_Incarnation},
                                          {"links", Remote.m_Links.size()}});
}

const model::Member *PeerLinks::onDown(link::PeerHandle Link,
                                       link::LinkEnd Reason, absl::Time Now) {
  auto Found = m_ByLink.find(Link);
  if (Found == m_ByLink.end())
    return nullptr;
  Peer &Remote = m_Peers.at(Found->second);
  m_ByLink.erase(Found);
  std::erase(Remote.m_Links, Link);
  m_Log.state("A link to a peer is down.",
              {{"peer", Remote.m_Member.m_Name},
               {"why", link::LinkEndNames.nameOf(Reason)},
               {"links", Remote.m_Links.size()}});
  if (!Remote.m_Links.empty())
    return nullptr;
  Remote.m_LastLinked = Now;
  Remote.m_NextConnect =
      Now + m_Options.m_Hooks.m_Random() * m_Options.m_MinRetryDelay;
  return &Remote.m_Member;
}

void PeerLinks::onTargetState(link::PeerHandle From,
                              const wire::TargetNewsT &State) {
  auto Found = m_ByLink.find(From);
  if (Found == m_ByLink.end())
    return;
  Peer &Remote = m_Peers.at(Found->second);
  // Two links may deliver reports out of order.
  if (State.sequence > Remote.m_TargetState.sequence) {
    Remote.m_TargetState.sequence = State.sequence;
    Remote.m_TargetState.service = State.service;
    Remote.m_TargetState.instance = State.instance;
    Remote.m_TargetState.is_open = State.is_open;
    Remote.m_TargetState.start_time_ms = State.start_time_ms;
    Remote.m_TargetState.is_cold = State.is_cold;
    Remote.m_TargetState.slots = State.slots;
    Remote.m_TargetState.version = State.version;
    Remote.m_TargetState.exposure = State.exposure;
    if (State.is_open)
      Remote.m_LastOpen = {State.service, State.instance};
    Remote.m_Calls.clear();
    for (const auto &Edge : State.calls)
      Remote.m_Calls.push_back({Edge->from_route, Edge->to_route});
  }
}

void PeerLinks::tick(absl::Time Now) {
  for (auto &[Name, Remote] : m_Peers) {
    if (!Remote.m_Links.empty() || Now < Remote.m_NextConnect)
      continue;
    m_Options.m_Hooks.m_Connect(Remote.m_Member.m_Link);
    Remote.m_NextConnect =
        Now + Remote.m_RetryDelay * (0.75 + m_Options.m_Hooks.m_Random() / 2);
    Remote.m_RetryDelay =
        std::min(Remote.m_RetryDelay * 2, m_Options.m_MaxRetryDelay);
  }
}

PeerLinks::RememberedTarget
PeerLinks::rememberedTarget(link::PeerHandle Link) const {
  auto Found = m_ByLink.find(Link);
  return Found == m_ByLink.end() ? RememberedTarget()
                                 : m_Peers.at(Found->second).m_LastOpen;
}

link::PeerHandle PeerLinks::linkTo(const model::Member &Member) const {
  auto Found = m_Peers.find(Member.m_Name);
  if (Found == m_Peers.end() || Found->second.m_Links.empty() ||
      Found->second.m_Member.m_Incarnation != Member.m_Incarnation)
    return {};
  return Found->second.m_Links.back();
}

const model::Member *PeerLinks::memberOf(link::PeerHandle Link) const {
  auto Found = m_ByLink.find(Link);
  return Found == m_ByLink.end() ? nullptr
                                 : &m_Peers.at(Found->second).m_Member;
}

std::vector<link::PeerHandle> PeerLinks::links() const {
  std::vector<link::PeerHandle> Links;
  for (const auto &[Name, Remote] : m_Peers)
    if (!Remote.m_Links.empty())
      Links.push_back(Remote.m_Links.back());
  return Links;
}

std::vector<PeerTarget> PeerLinks::targetsOf(const std::string &Service) const {
  std::vector<PeerTarget> Targets;
  for (const auto &[Name, Remote] : m_Peers)
    if (Remote.m_Member.m_Service == Service)
      Targets.push_back(
          {.m_Member = Remote.m_Member,
           .m_Instance = Remote.m_TargetState.instance,
           .m_StartTimeMs = Remote.m_TargetState.start_time_ms,
           .m_IsOpen = Remote.m_TargetState.is_open && !Remote.m_Links.empty(),
           .m_Version = Remote.m_TargetState.version,
           .m_Exposure = Remote.m_TargetState.exposure,
           .m_Calls = Remote.m_Calls});
  return Targets;
}

std::vector<RolloutPeer> PeerLinks::rolloutPeers(absl::Time Now) const {
  std::vector<RolloutPeer> Known;
  for (const auto &[Name, Remote] : m_Peers) {
    bool IsLinked = !Remote.m_Links.empty();
    Known.push_back(
        {.m_Member = Remote.m_Member,
         .m_Link = IsLinked ? Remote.m_Links.back() : link::PeerHandle(),
         .m_IsCounted =
             IsLinked || Now - Remote.m_LastLinked < m_Options.m_AbsentAfter});
  }
  return Known;
}

std::size_t PeerLinks::linked() const {
  return static_cast<std::size_t>(
      std::count_if(m_Peers.begin(), m_Peers.end(), [](const auto &One) {
        return !One.second.m_Links.empty();
      }));
}

} // namespace knapweedloft::mesh
