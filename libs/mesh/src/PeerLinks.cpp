#include "mesh/PeerLinks.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {

PeerLinks::PeerLinks(Options Settings, Reporter Log)
    : m_Options(std::move(Settings)), m_Log(Log) {}

PeerLinks::Peer &PeerLinks::peerNamed(const model::Member &Who,
                                      absl::Time Now) {
  auto Found = m_Peers.find(Who.m_Name);
  if (Found != m_Peers.end())
    return Found->second;
  bool IsOpener = m_Options.m_Self.m_Name < Who.m_Name;
  Peer Fresh{.m_Member = Who,
             .m_NextTry = IsOpener ? Now : Now + m_Options.m_Courtesy,
             .m_Pause = m_Options.m_LeastPause};
  return m_Peers.emplace(Who.m_Name, std::move(Fresh)).first->second;
}

void PeerLinks::onMember(const model::Member &Who, absl::Time Now) {
  if (Who.m_Name == m_Options.m_Self.m_Name)
    return;
  Peer &Known = peerNamed(Who, Now);
  // What a link shows is newer than any record.
  if (Known.m_Links.empty())
    Known.m_Member = Who;
}

void PeerLinks::onMemberGone(const std::string &Name) {
  auto Found = m_Peers.find(Name);
  if (Found != m_Peers.end() && Found->second.m_Links.empty())
    m_Peers.erase(Found);
}

void PeerLinks::onUp(link::PeerHandle Link, const model::Member &Who,
                     absl::Time Now) {
  Peer &Known = peerNamed(Who, Now);
  if (Known.m_Member.m_Incarnation != Who.m_Incarnation) {
    Known.m_News = {};
    for (link::PeerHandle Former : Known.m_Links)
      m_Options.m_Hooks.m_Close(Former);
  }
  Known.m_Member = Who;
  Known.m_Links.push_back(Link);
  Known.m_Pause = m_Options.m_LeastPause;
  m_ByLink[Link] = Who.m_Name;
  m_Log.state("A peer is linked.", {{"peer", Who.m_Name},
                                    {"service", Who.m_Service},
                                    {"incarnation", Who.m_Incarnation},
                                    {"links", Known.m_Links.size()}});
}

const model::Member *PeerLinks::onDown(link::PeerHandle Link,
                                       link::LinkEnd Reason, absl::Time Now) {
  auto Named = m_ByLink.find(Link);
  if (Named == m_ByLink.end())
    return nullptr;
  Peer &Known = m_Peers.at(Named->second);
  m_ByLink.erase(Named);
  std::erase(Known.m_Links, Link);
  m_Log.state("A link is down.", {{"peer", Known.m_Member.m_Name},
                                  {"why", link::LinkEndNames.nameOf(Reason)},
                                  {"links", Known.m_Links.size()}});
  if (!Known.m_Links.empty())
    return nullptr;
  Known.m_NextTry = Now + m_Options.m_Hooks.m_Random() * m_Options.m_LeastPause;
  return &Known.m_Member;
}

void PeerLinks::onNews(link::PeerHandle From, const wire::TargetNewsT &News) {
  auto Named = m_ByLink.find(From);
  if (Named == m_ByLink.end())
    return;
  Peer &Known = m_Peers.at(Named->second);
  // Two links may bring news out of order.
  if (News.sequence > Known.m_News.sequence) {
    Known.m_News.sequence = News.sequence;
    Known.m_News.service = News.service;
    Known.m_News.instance = News.instance;
    Known.m_News.is_open = News.is_open;
    Known.m_News.is_cold = News.is_cold;
    Known.m_News.slots = News.slots;
    Known.m_Calls.clear();
    for (const auto &Edge : News.calls)
      Known.m_Calls.push_back({Edge->from_route, Edge->to_route});
  }
}

void PeerLinks::tick(absl::Time Now) {
  for (auto &[Name, Known] : m_Peers) {
    if (!Known.m_Links.empty() || Now < Known.m_NextTry)
      continue;
    m_Options.m_Hooks.m_Connect(Known.m_Member.m_Link);
    Known.m_NextTry =
        Now + Known.m_Pause * (0.75 + m_Options.m_Hooks.m_Random() / 2);
    Known.m_Pause = std::min(Known.m_Pause * 2, m_Options.m_MostPause);
  }
}

link::PeerHandle PeerLinks::linkTo(const model::Member &Who) const {
  auto Found = m_Peers.find(Who.m_Name);
  if (Found == m_Peers.end() || Found->second.m_Links.empty() ||
      Found->second.m_Member.m_Incarnation != Who.m_Incarnation)
    return {};
  return Found->second.m_Links.back();
}

const model::Member *PeerLinks::memberOf(link::PeerHandle Link) const {
  auto Named = m_ByLink.find(Link);
  return Named == m_ByLink.end() ? nullptr
                                 : &m_Peers.at(Named->second).m_Member;
}

std::vector<link::PeerHandle> PeerLinks::links() const {
  std::vector<link::PeerHandle> All;
  for (const auto &[Name, Known] : m_Peers)
    if (!Known.m_Links.empty())
      All.push_back(Known.m_Links.back());
  return All;
}

std::vector<PeerTarget> PeerLinks::targetsOf(const std::string &Service) const {
  std::vector<PeerTarget> Targets;
  for (const auto &[Name, Known] : m_Peers)
    if (Known.m_Member.m_Service == Service)
      Targets.push_back(
          {.m_Member = Known.m_Member,
           .m_Instance = Known.m_News.instance,
           .m_IsOpen = Known.m_News.is_open && !Known.m_Links.empty(),
           .m_Calls = Known.m_Calls});
  return Targets;
}

std::size_t PeerLinks::linked() const {
  return static_cast<std::size_t>(
      std::count_if(m_Peers.begin(), m_Peers.end(), [](const auto &One) {
        return !One.second.m_Links.empty();
      }));
}

} // namespace knapweedloft::mesh
