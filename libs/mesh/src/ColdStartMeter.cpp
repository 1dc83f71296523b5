#include "mesh/ColdStartMeter.h"

#include <algorithm>

namespace knapweedloft::mesh {

void ColdStartMeter::onCold(absl::Time Until, absl::Time Now) {
  if (!m_IsCold && Until <= Now)
    return;
  if (!m_IsCold) {
    m_IsCold = true;
    m_Since = Now;
    m_Present = {};
    m_LastSecond.clear();
  }
  m_Until = Until;
}

void ColdStartMeter::onStart(absl::Time Now) {
  if (!m_IsCold || Now >= m_Until)
    return;
  while (!m_LastSecond.empty() &&
         m_LastSecond.front() + absl::Seconds(1) <= Now)
    m_LastSecond.pop_front();
  m_LastSecond.push_back(Now);
  ++m_Starts;
  ++m_Present.m_Starts;
  m_Present.m_MostInOneSecond =
      std::max<std::uint64_t>(m_Present.m_MostInOneSecond, m_LastSecond.size());
  m_MostInOneSecond = std::max(m_MostInOneSecond, m_Present.m_MostInOneSecond);
}

std::optional<ColdStartMeter::Figures>
ColdStartMeter::takeEnded(absl::Time Now) {
  if (!m_IsCold || Now < m_Until)
    return std::nullopt;
  m_IsCold = false;
  m_Present.m_Lasted = std::max(m_Until, m_Since) - m_Since;
  return m_Present;
}

} // namespace knapweedloft::mesh
