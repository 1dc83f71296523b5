#include "policy/ColdStartPacer.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

constexpr absl::Duration Window = absl::Seconds(1);

std::size_t maxStarts(double PerSecond) {
  return static_cast<std::size_t>(std::max(1.0, std::floor(PerSecond)));
}

} // namespace

void ColdStartPacer::setCold(absl::Time Until, double PerSecond) {
  m_Until = Until;
  m_PerSecond = PerSecond;
}

void ColdStartPacer::expire(absl::Time Now) {
  while (!m_Starts.empty() && m_Starts.front() + Window <= Now)
    m_Starts.pop_front();
}

bool ColdStartPacer::tryStart(absl::Time Now) {
  expire(Now);
  if (isCold(Now) && m_Starts.size() >= maxStarts(m_PerSecond))
    return false;
  m_Starts.push_back(Now);
  return true;
}

absl::Time ColdStartPacer::nextStart(absl::Time Now) const {
  std::size_t Limit = maxStarts(m_PerSecond);
  if (!isCold(Now) || m_Starts.size() < Limit)
    return Now;
  return std::min(m_Starts[m_Starts.size() - Limit] + Window, m_Until);
}

} // namespace knapweedloft::policy
