#include "mesh/TargetState.h"

#include <algorithm>

namespace knapweedloft::mesh {

bool TargetState::isOutdated(const TargetReport &Report) const {
  if (m_Instance.empty())
    return false;
  bool KnowsStartTimes = Report.m_StartTimeMs != 0 && m_StartTimeMs != 0;
  if (KnowsStartTimes && Report.m_StartTimeMs != m_StartTimeMs)
    return Report.m_StartTimeMs < m_StartTimeMs;
  if (Report.m_Instance != m_Instance)
    return false;
  // A report that the target leaves holds in whatever order it arrives.
  return Report.m_Sequence <= m_Sequence &&
         Report.m_Condition == TargetCondition::Ready;
}

TargetState::ReportResult TargetState::onReport(const TargetReport &Report,
                                                absl::Time /*Now*/) {
  if (Report.m_Condition != TargetCondition::Gone &&
      (Report.m_Service != m_Settings.m_Service ||
       Report.m_At != m_Settings.m_At))
    return ReportResult::Foreign;
  if (Report.m_Condition == TargetCondition::Gone &&
      Report.m_Instance != m_Instance)
    return m_Instance.empty() ? ReportResult::Accepted : ReportResult::Outdated;
  if (isOutdated(Report))
    return ReportResult::Outdated;
  bool IsNewInstance =
      Report.m_Instance != m_Instance ||
      (Report.m_StartTimeMs != 0 && Report.m_StartTimeMs != m_StartTimeMs);
  if (IsNewInstance && !m_Instance.empty()) {
    m_IsLeaving = false;
    m_NeedsCheck = false; // It started while this process was running.
  }
  if (IsNewInstance)
    m_Sequence = 0;
  m_Instance = Report.m_Instance;
  if (Report.m_StartTimeMs != 0)
    m_StartTimeMs = Report.m_StartTimeMs;
  m_Sequence = std::max(m_Sequence, Report.m_Sequence);
  if (Report.m_Condition != TargetCondition::Ready)
    m_IsLeaving = true;
  m_IsDown = false;
  return ReportResult::Accepted;
}

void TargetState::onHealthCheck(const std::string &Instance, bool IsHealthy,
                                absl::Time /*Now*/) {
  m_HasCheckFailed = !IsHealthy;
  if (!IsHealthy)
    return;
  if (Instance != m_Instance) {
    m_IsLeaving = false;
    m_Sequence = 0;
    m_StartTimeMs = 0;
  }
  m_Instance = Instance;
  m_NeedsCheck = false;
  m_IsDown = false;
}

void TargetState::onUnexpectedInstance(const std::string &Instance) {
  if (Instance == m_Instance)
    return;
  // The instance gets no requests until a report or a check confirms it.
  m_Instance = Instance;
  m_StartTimeMs = 0;
  m_Sequence = 0;
  m_IsLeaving = false;
  m_NeedsCheck = true;
}

void TargetState::onConnectionRefused() { m_IsDown = true; }

void TargetState::setWithdrawn(bool IsWithdrawn) {
  m_IsWithdrawn = IsWithdrawn;
}

TargetAvailability TargetState::availability() const {
  if (m_IsStopping)
    return TargetAvailability::Stopping;
  if (m_IsWithdrawn)
    return TargetAvailability::Withdrawn;
  if (m_IsLeaving)
    return TargetAvailability::Leaving;
  if (m_Instance.empty() || m_NeedsCheck)
    return TargetAvailability::Unknown;
  if (m_IsDown)
    return TargetAvailability::Down;
  if (m_Hold != RolloutHold::None)
    return m_Hold == RolloutHold::Held ? TargetAvailability::Held
                                       : TargetAvailability::Superseded;
  return TargetAvailability::Open;
}

bool TargetState::isOpenForRollout() const {
  TargetAvailability Now = availability();
  return Now == TargetAvailability::Open || Now == TargetAvailability::Held ||
         Now == TargetAvailability::Superseded;
}

bool TargetState::needsCheck() const {
  if (m_IsStopping || m_IsLeaving)
    return false;
  return m_Instance.empty() || m_NeedsCheck || m_IsDown;
}

} // namespace knapweedloft::mesh
