#include "policy/ColdStartPacer.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

constexpr absl::Duration Window = absl::Seconds(1);
constexpr int BatchesPerWindow = 2;

std::size_t maxStarts(double PerSecond) {
  return static_cast<std::size_t>(std::max(1.0, std::floor(PerSecond)));
}

std::size_t maxBatch(double PerSecond) {
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(maxStarts(PerSecond)) / BatchesPerWindow));
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
  if (nextStart(Now) > Now)
    return false;
  m_Starts.push_back(Now);
  return true;
}

absl::Time ColdStartPacer::nextWithin(std::size_t Max, absl::Duration Window,
                                      absl::Time Now) const {
  if (m_Starts.size() < Max)
    return Now;
  return std::max(Now, m_Starts[m_Starts.size() - Max] + Window);
}

absl::Time ColdStartPacer::nextStart(absl::Time Now) const {
  if (!isCold(Now))
    return Now;
  absl::Time Next = std::max(
      nextWithin(maxStarts(m_PerSecond), Window, Now),
      nextWithin(maxBatch(m_PerSecond), Window / BatchesPerWindow, Now));
  return std::min(Next, m_Until);
}

} // namespace knapweedloft::policy
