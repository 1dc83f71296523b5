#include "policy/AdmittedShareController.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// Weight of the latest interval.
constexpr double Smoothing = 0.5;

} // namespace

void AdmittedShareController::onRunning(std::size_t Running, absl::Time Now) {
  if (m_LastRunningUpdate != absl::InfinitePast())
    m_RunningSeconds += static_cast<double>(m_Running) *
                        absl::ToDoubleSeconds(Now - m_LastRunningUpdate);
  m_Running = Running;
  m_LastRunningUpdate = Now;
}

void AdmittedShareController::update(double Slots, absl::Time Now) {
  if (m_IntervalStart == absl::InfinitePast())
    m_IntervalStart = Now;
  absl::Duration Elapsed = Now - m_IntervalStart;
  if (Elapsed < m_Settings.m_Interval)
    return;
  onRunning(m_Running, Now);
  double Offered =
      (m_RunningSeconds + m_RejectedSeconds) / absl::ToDoubleSeconds(Elapsed);
  m_OfferedSlots += Smoothing * (Offered - m_OfferedSlots);
  m_RunningSeconds = m_RejectedSeconds = 0;
  m_IntervalStart = Now;
  double SetpointSlots =
      m_Settings.m_UtilizationSetpoint * std::max(Slots, 1.0);
  double Factor = m_OfferedSlots > 0 ? SetpointSlots / m_OfferedSlots
                                     : m_Settings.m_MaxStepFactor;
  double Wanted = shareAt(Now - m_Settings.m_Delay) * Factor;
  Wanted = std::clamp(Wanted, m_AdmittedShare * m_Settings.m_MinStepFactor,
                      m_AdmittedShare * m_Settings.m_MaxStepFactor);
  m_AdmittedShare = std::clamp(Wanted, m_Settings.m_MinAdmittedShare, 1.0);
  m_Former.push_back({Now, m_AdmittedShare});
}

double AdmittedShareController::shareAt(absl::Time When) {
  while (m_Former.size() > 1 && m_Former[1].m_Since <= When)
    m_Former.pop_front();
  bool IsKnown = !m_Former.empty() && m_Former.front().m_Since <= When;
  return IsKnown ? m_Former.front().m_Share : 1;
}

} // namespace knapweedloft::policy
