#include "app/PeerTable.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::app {
namespace {

std::string toText(const model::Endpoint &At) {
  return fmt::format("{} {}", At.m_Address, At.m_Port);
}

} // namespace

PeerTable::PeerTable(Options Settings) : m_Options(std::move(Settings)) {}

link::PeerHandle PeerTable::find(const std::string &Name,
                                 model::Incarnation Life) const {
  auto Found = m_ByName.find(Name);
  if (Found == m_ByName.end())
    return {};
  const model::Member *Who = memberOf(Found->second);
  if (!Who || (Life != 0 && Who->m_Incarnation != Life))
    return {};
  return Found->second;
}

const model::Member *PeerTable::memberOf(link::PeerHandle Link) const {
  auto Found = m_ByLink.find(Link.m_Index);
  return Found == m_ByLink.end() ? nullptr : &Found->second;
}

void PeerTable::want(const model::Member &Who, absl::Time Now) {
  if (find(Who.m_Name, Who.m_Incarnation).isValid())
    return;
  Dial &Attempt = m_Dials[toText(Who.m_Link)];
  if (Attempt.m_IsUnderWay || Now < Attempt.m_NotBefore)
    return;
  Attempt.m_IsUnderWay = true;
  m_Options.m_Connect(Who.m_Link);
}

void PeerTable::onUp(link::PeerHandle Link, const model::Member &Who) {
  m_Dials.erase(toText(Who.m_Link));
  m_ByLink[Link.m_Index] = Who;
  m_ByName[Who.m_Name] = Link;
}

bool PeerTable::onDown(link::PeerHandle Link) {
  auto Found = m_ByLink.find(Link.m_Index);
  if (Found == m_ByLink.end())
    return false;
  model::Member Who = std::move(Found->second);
  m_ByLink.erase(Found);
  auto Newest = m_ByName.find(Who.m_Name);
  if (Newest == m_ByName.end() || Newest->second != Link)
    return false;
  m_ByName.erase(Newest);
  for (const auto &[Index, Other] : m_ByLink) {
    if (Other.m_Name != Who.m_Name || Other.m_Incarnation != Who.m_Incarnation)
      continue;
    m_ByName[Who.m_Name] = link::PeerHandle{Index};
    return false;
  }
  return true;
}

void PeerTable::onConnectFailed(const model::Endpoint &To, absl::Time Now) {
  Dial &Attempt = m_Dials[toText(To)];
  Attempt.m_IsUnderWay = false;
  Attempt.m_Backoff =
      Attempt.m_Backoff == absl::ZeroDuration()
          ? m_Options.m_FirstBackoff
          : std::min(Attempt.m_Backoff * 2, m_Options.m_LongestBackoff);
  Attempt.m_NotBefore = Now + Attempt.m_Backoff;
}

std::vector<link::PeerHandle> PeerTable::links() const {
  std::vector<link::PeerHandle> All;
  All.reserve(m_ByName.size());
  for (const auto &[Name, Link] : m_ByName)
    All.push_back(Link);
  return All;
}

} // namespace knapweedloft::app
