#include "policy/DemandGauge.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// Weight of the newest interval.
constexpr double Smoothing = 0.5;

} // namespace

void DemandGauge::onRunning(std::size_t Running, absl::Time Now) {
  if (m_RunningSince != absl::InfinitePast())
    m_RunningSeconds += static_cast<double>(m_Running) *
                        absl::ToDoubleSeconds(Now - m_RunningSince);
  m_Running = Running;
  m_RunningSince = Now;
}

void DemandGauge::update(double Slots, absl::Time Now) {
  if (m_Since == absl::InfinitePast())
    m_Since = Now;
  absl::Duration Passed = Now - m_Since;
  if (Passed < m_Settings.m_Interval)
    return;
  onRunning(m_Running, Now);
  double Offered =
      (m_RunningSeconds + m_TurnedAwaySeconds) / absl::ToDoubleSeconds(Passed);
  m_Load += Smoothing * (Offered - m_Load);
  m_RunningSeconds = m_TurnedAwaySeconds = 0;
  m_Since = Now;
  double Aim = m_Settings.m_Aim * std::max(Slots, 1.0);
  double Factor = m_Load > 0 ? Aim / m_Load : m_Settings.m_MostRise;
  Factor = std::clamp(Factor, m_Settings.m_MostCut, m_Settings.m_MostRise);
  m_Admitted = std::clamp(m_Admitted * Factor, m_Settings.m_Least, 1.0);
}

} // namespace knapweedloft::policy
