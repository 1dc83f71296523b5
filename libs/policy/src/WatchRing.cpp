#include "policy/WatchRing.h"

#include "policy/RateShard.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

constexpr std::uint64_t RingSeed = 0x77a7c4;

} // namespace

WatchRing::WatchRing(const std::vector<std::string> &Members,
                     std::size_t WatcherCount)
    : m_WatcherCount(WatcherCount) {
  m_Ring.reserve(Members.size());
  for (const std::string &Name : Members)
    m_Ring.emplace_back(stableHash(Name, RingSeed), Name);
  std::sort(m_Ring.begin(), m_Ring.end());
}

std::vector<std::string> WatchRing::watchedBy(const std::string &Name) const {
  return neighborsOf(Name, true);
}

std::vector<std::string> WatchRing::watchersOf(const std::string &Name) const {
  return neighborsOf(Name, false);
}

std::vector<std::string> WatchRing::neighborsOf(const std::string &Name,
                                                bool IsForward) const {
  RingEntry Own(stableHash(Name, RingSeed), Name);
  auto Found = std::lower_bound(m_Ring.begin(), m_Ring.end(), Own);
  if (Found == m_Ring.end() || *Found != Own)
    return {};
  std::size_t Size = m_Ring.size();
  auto Start = static_cast<std::size_t>(Found - m_Ring.begin());
  std::size_t Count = std::min(m_WatcherCount, Size - 1);
  std::vector<std::string> Names;
  for (std::size_t Step = 1; Step <= Count; ++Step) {
    std::size_t Index = IsForward ? Start + Step : Start + Size - Step;
    Names.push_back(m_Ring[Index % Size].second);
  }
  return Names;
}

} // namespace knapweedloft::policy
