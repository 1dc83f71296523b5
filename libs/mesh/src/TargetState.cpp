#include "mesh/TargetState.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweedloft::mesh {
namespace {

/// Makes room for one more of at most \p Max. What is known of \p Present
/// stays.
template <typename FormerT>
void dropOldest(std::deque<FormerT> &Former, std::size_t Max,
                const std::string &Present) {
  if (Former.size() < Max)
    return;
  auto Oldest =
      std::find_if(Former.begin(), Former.end(), [&](const FormerT &One) {
        return One.m_Instance != Present;
      });
  Former.erase(Oldest == Former.end() ? Former.begin() : Oldest);
}

} // namespace

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

bool TargetState::hasLeft(const std::string &Instance,
                          std::int64_t StartTimeMs) const {
  return std::any_of(
      m_Left.begin(), m_Left.end(), [&](const LeftInstance &One) {
        if (One.m_Instance != Instance)
          return false;
        if (StartTimeMs == 0)
          return true;
        return One.m_StartTimeMs != 0
                   ? StartTimeMs <= One.m_StartTimeMs
                   : absl::FromUnixMillis(StartTimeMs) <= One.m_At;
      });
}

void TargetState::addLeft(const std::string &Instance, std::int64_t StartTimeMs,
                          absl::Time At) {
  if (hasLeft(Instance, StartTimeMs))
    return;
  dropOldest(m_Left, MaxFormerInstances, m_Instance);
  m_Left.push_back({Instance, StartTimeMs, At});
}

void TargetState::noteService(const TargetReport &Report) {
  bool IsOwn = Report.m_Service == m_Settings.m_Service;
  auto Found = std::find_if(m_Services.begin(), m_Services.end(),
                            [&](const ReportedService &One) {
                              return One.m_Instance == Report.m_Instance;
                            });
  if (Found == m_Services.end()) {
    dropOldest(m_Services, MaxFormerInstances, m_Instance);
    m_Services.push_back({.m_Instance = Report.m_Instance});
    Found = std::prev(m_Services.end());
  } else if (std::pair(Report.m_StartTimeMs, Report.m_Sequence) <
             std::pair(Found->m_StartTimeMs, Found->m_Sequence)) {
    return; // A late report.
  }
  Found->m_StartTimeMs = Report.m_StartTimeMs;
  Found->m_Sequence = Report.m_Sequence;
  Found->m_IsOwn = IsOwn;
}

bool TargetState::isConfirmed(const std::string &Instance) const {
  return std::any_of(m_Services.begin(), m_Services.end(),
                     [&](const ReportedService &One) {
                       return One.m_Instance == Instance && One.m_IsOwn;
                     });
}

void TargetState::onRemembered(const std::string &Instance) {
  bool IsKnown = std::any_of(
      m_Services.begin(), m_Services.end(),
      [&](const ReportedService &One) { return One.m_Instance == Instance; });
  if (!IsKnown && !Instance.empty())
    noteService({.m_Instance = Instance, .m_Service = m_Settings.m_Service});
}

void TargetState::setInstance(const std::string &Instance,
                              std::int64_t StartTimeMs) {
  m_Instance = Instance;
  m_StartTimeMs = StartTimeMs;
  m_Sequence = 0;
  m_IsLeaving = hasLeft(Instance, StartTimeMs);
  m_DoubtedAt = absl::InfinitePast();
}

TargetState::ReportResult
TargetState::onLeavingOfOther(const TargetReport &Report, absl::Time Now) {
  addLeft(Report.m_Instance, Report.m_StartTimeMs, Report.m_ReceivedAt);
  bool IsOrdered = Report.m_StartTimeMs != 0 && m_StartTimeMs != 0;
  bool IsOtherInstance = Report.m_Instance != m_Instance;
  if (m_Instance.empty() || Report.m_Condition == TargetCondition::Gone ||
      (IsOtherInstance && IsOrdered))
    return ReportResult::Outdated;
  // A late report of an earlier start, or one of the present start whose clock
  // went back or whose instance is not known yet: only the target can say.
  m_NeedsCheck = true;
  m_DoubtedAt = Now;
  return ReportResult::Outdated;
}

TargetState::ReportResult TargetState::onReport(const TargetReport &Report,
                                                absl::Time Now) {
  bool IsGone = Report.m_Condition == TargetCondition::Gone;
  bool IsLeaving = Report.m_Condition != TargetCondition::Ready;
  if (!IsGone && Report.m_At != m_Settings.m_At)
    return ReportResult::Foreign;
  if (!IsGone)
    noteService(Report);
  if (!IsGone && Report.m_Service != m_Settings.m_Service)
    return ReportResult::Foreign;
  bool IsOther = Report.m_Instance != m_Instance;
  bool IsOrdered = Report.m_StartTimeMs != 0 && m_StartTimeMs != 0;
  if (IsLeaving) {
    bool IsUnorderedOther = IsOther && !m_Instance.empty() && !IsOrdered;
    if ((IsGone && IsOther) || IsUnorderedOther || isOutdated(Report))
      return onLeavingOfOther(Report, Now);
  } else if (isOutdated(Report) ||
             (IsOther && hasLeft(Report.m_Instance, Report.m_StartTimeMs))) {
    return ReportResult::Outdated;
  }
  bool IsLaterStart = IsOrdered && Report.m_StartTimeMs != m_StartTimeMs;
  if (IsOther || IsLaterStart) {
    setInstance(Report.m_Instance, Report.m_StartTimeMs);
  } else if (m_StartTimeMs == 0 && Report.m_StartTimeMs != 0) {
    // A health check tells the instance without its start.
    m_StartTimeMs = Report.m_StartTimeMs;
    m_IsLeaving = hasLeft(m_Instance, m_StartTimeMs);
  }
  bool IsStartedSince =
      Report.m_StartTimeMs != 0 &&
      absl::FromUnixMillis(Report.m_StartTimeMs) > m_Settings.m_ProcessStart;
  if (IsStartedSince && m_DoubtedAt == absl::InfinitePast())
    m_NeedsCheck = false;
  m_Sequence = std::max(m_Sequence, Report.m_Sequence);
  if (IsLeaving)
    onLeaving(Report.m_ReceivedAt);
  // A report of the start that refused a connection may be from before, so it
  // opens the target only once that has answered again.
  if (IsOther || IsLaterStart || m_AnswersAgain)
    m_IsDown = false;
  return ReportResult::Accepted;
}

void TargetState::onHealthCheck(const std::string &Instance, bool IsHealthy,
                                absl::Time Began) {
  m_HasCheckFailed = !IsHealthy;
  if (!IsHealthy)
    return;
  if (Instance != m_Instance)
    setInstance(Instance, 0);
  if (Began >= m_DoubtedAt) {
    m_NeedsCheck = false;
    m_DoubtedAt = absl::InfinitePast();
  }
  if (Began >= m_RefusedAt)
    m_IsDown = false;
}

void TargetState::onCheckAnswered(const std::string &Instance,
                                  absl::Time Began) {
  bool IsOther = !Instance.empty() && Instance != m_Instance;
  if (!IsOther && Began >= m_RefusedAt)
    m_AnswersAgain = true;
}

void TargetState::onCheckRefused(absl::Time Now) {
  if (m_IsDown)
    onConnectionRefused(Now);
}

void TargetState::onUnexpectedInstance(const std::string &Instance) {
  if (Instance == m_Instance)
    return;
  // The instance gets no requests until a check has found it well and a report
  // has named its service.
  setInstance(Instance, 0);
  m_NeedsCheck = true;
}

void TargetState::onLeaving(absl::Time At) {
  addLeft(m_Instance, m_StartTimeMs, At);
  m_IsLeaving = true;
}

void TargetState::onConnectionRefused(absl::Time Now) {
  m_IsDown = true;
  m_AnswersAgain = false;
  m_RefusedAt = Now;
}

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
  if (!isConfirmed(m_Instance))
    return TargetAvailability::Unconfirmed;
  if (m_IsDown)
    return TargetAvailability::Down;
  if (m_AwaitsRate)
    return TargetAvailability::AwaitsRate;
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
