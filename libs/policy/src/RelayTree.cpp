#include "policy/RelayTree.h"

#include "policy/LeaseHolderElection.h"
#include "policy/PolicyError.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace knapweedloft::policy {
namespace {

constexpr char HashSubject[] = "relay";

void appendUnique(std::vector<std::string> &Names, const std::string &Name,
                  const std::string &Excluded) {
  if (Name != Excluded &&
      std::find(Names.begin(), Names.end(), Name) == Names.end())
    Names.push_back(Name);
}

} // namespace

RelayTree::RelayTree(const std::vector<std::string> &Members,
                     const Options &Settings)
    : m_Settings(Settings) {
  if (Settings.m_Followers == 0 || Settings.m_FanOut == 0)
    throw PolicyError("relay tree: the number of followers and the fan-out "
                      "must be at least 1");
  std::vector<std::pair<std::uint64_t, std::string>> WeightedNames;
  WeightedNames.reserve(Members.size());
  for (const std::string &Name : Members)
    WeightedNames.emplace_back(rendezvousWeight(HashSubject, Name), Name);
  std::sort(WeightedNames.begin(), WeightedNames.end());
  m_Ranked.reserve(Members.size());
  for (auto &[Weight, Name] : WeightedNames)
    m_Ranked.push_back(std::move(Name));
}

bool RelayTree::isFollower(const std::string &Name) const {
  return rankOf(Name) < std::min(m_Settings.m_Followers, m_Ranked.size());
}

std::vector<std::string> RelayTree::followers() const {
  std::size_t Count = std::min(m_Settings.m_Followers, m_Ranked.size());
  return {m_Ranked.begin(), m_Ranked.begin() + Count};
}

std::vector<std::string> RelayTree::parentsOf(const std::string &Name) const {
  std::vector<std::string> Parents;
  std::size_t Rank = rankOf(Name);
  if (Rank < m_Ranked.size() && Rank >= m_Settings.m_Followers) {
    std::size_t Parent = parentRank(Rank);
    appendUnique(Parents, m_Ranked[Parent], Name);
    // The predecessor of the parent is on its level or on the level above.
    std::size_t Second =
        Parent > 0 ? Parent - 1 : std::min<std::size_t>(1, Rank - 1);
    appendUnique(Parents, m_Ranked[Second], Name);
  }
  for (const std::string &Follower : followers())
    appendUnique(Parents, Follower, Name);
  return Parents;
}

std::size_t RelayTree::depthOf(const std::string &Name) const {
  std::size_t Rank = rankOf(Name);
  if (Rank >= m_Ranked.size())
    return 0;
  std::size_t Depth = 0;
  for (; Rank >= m_Settings.m_Followers; Rank = parentRank(Rank))
    ++Depth;
  return Depth;
}

std::size_t RelayTree::rankOf(const std::string &Name) const {
  auto Found = std::find(m_Ranked.begin(), m_Ranked.end(), Name);
  return static_cast<std::size_t>(Found - m_Ranked.begin());
}

std::size_t RelayTree::parentRank(std::size_t Rank) const {
  return (Rank - m_Settings.m_Followers) / m_Settings.m_FanOut;
}

} // namespace knapweedloft::policy
