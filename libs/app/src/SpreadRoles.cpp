#include "SpreadRoles.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr std::size_t RemoteLinksEach = 2;

} // namespace

SpreadRoles::SpreadRoles(model::Member Self,
                         const policy::RelayTree::Options &Settings)
    : m_Self(std::move(Self)), m_Settings(Settings) {}

bool SpreadRoles::update(const state::SnapshotPtr &State) {
  state::SnapshotPtr Former = std::exchange(m_State, State);
  // Both are held, so equal addresses are the same members.
  if (Former && Former->members() == State->members())
    return false;
  absl::flat_hash_map<std::string, std::vector<std::string>> Sites;
  for (const model::Member *Who : State->members())
    Sites[Who->m_DataCenter].push_back(Who->m_Name);
  const model::Member *Own = State->findMember(m_Self.m_Name);
  m_IsMember = Own && Own->m_Incarnation == m_Self.m_Incarnation;
  m_Followers.clear();
  for (const auto &[Site, Names] : Sites)
    m_Followers[Site] = policy::RelayTree(Names, m_Settings).followers();
  policy::RelayTree Tree(Sites[m_Self.m_DataCenter], m_Settings);
  m_Parents = Tree.parentsOf(m_Self.m_Name);
  m_Rank = Tree.rankOf(m_Self.m_Name);
  return true;
}

bool SpreadRoles::isFollower() const {
  return m_IsMember && m_Rank < m_Settings.m_Followers;
}

const std::vector<std::string> &
SpreadRoles::followersOf(const std::string &DataCenter) const {
  static const std::vector<std::string> None;
  auto Found = m_Followers.find(DataCenter);
  return Found == m_Followers.end() ? None : Found->second;
}

std::vector<std::string> SpreadRoles::remoteLinks() const {
  std::vector<std::string> Names;
  if (!isFollower())
    return Names;
  for (const std::string &Site : otherDataCenters()) {
    const std::vector<std::string> &There = followersOf(Site);
    std::size_t Count = std::min(RemoteLinksEach, There.size());
    for (std::size_t Step = 0; Step < Count; ++Step)
      Names.push_back(There[(m_Rank + Step) % There.size()]);
  }
  return Names;
}

bool SpreadRoles::hasOtherFollowers() const {
  const std::vector<std::string> &Here = followersOf(m_Self.m_DataCenter);
  return std::any_of(Here.begin(), Here.end(), [this](const auto &Name) {
    return Name != m_Self.m_Name;
  });
}

std::vector<std::string> SpreadRoles::otherDataCenters() const {
  std::vector<std::string> Sites;
  for (const auto &[Site, Followers] : m_Followers)
    if (Site != m_Self.m_DataCenter)
      Sites.push_back(Site);
  std::sort(Sites.begin(), Sites.end());
  return Sites;
}

const model::Member *SpreadRoles::find(const std::string &Name) const {
  return m_State ? m_State->findMember(Name) : nullptr;
}

std::string SpreadRoles::followerSite(const std::string &Name) const {
  const model::Member *Who = find(Name);
  if (!Who)
    return {};
  const std::vector<std::string> &There = followersOf(Who->m_DataCenter);
  bool IsFollower = std::find(There.begin(), There.end(), Name) != There.end();
  return IsFollower ? Who->m_DataCenter : std::string();
}

} // namespace knapweedloft::app
