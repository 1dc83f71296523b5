#include "RolloutRoom.h"

#include <algorithm>

namespace knapweedloft::policy {

namespace {

constexpr absl::Duration SampleLifetime = absl::Milliseconds(1500);
/// Part of its slots that a cold target has the speed for.
constexpr double ColdPart = 0.5;

} // namespace

void RolloutRoom::onSample(const RolloutSample &Sample, absl::Time Now) {
  m_Targets[Sample.m_Daemon] = {.m_IsNew = Sample.m_Version == m_NewVersion,
                                .m_IsOpen = Sample.m_IsOpen,
                                .m_IsCold = Sample.m_IsCold,
                                .m_Slots = Sample.m_Slots,
                                .m_Running = Sample.m_Running,
                                .m_HeardAt = Now};
}

void RolloutRoom::onDaemonLost(const std::string &Daemon) {
  m_Targets.erase(Daemon);
}

bool RolloutRoom::counts(const Target &Of, const Question &Asked) {
  return Of.m_HeardAt >= Asked.m_Since &&
         Asked.m_Now - Of.m_HeardAt <= SampleLifetime;
}
/// Where the service below is slow, more runs than either version has room for;
/// it is then enough to have as much room as before.
bool RolloutRoom::isEnough(const Question &Asked) const {
  double Room = 0;
  double Former = 0;
  double Running = 0;
  for (const auto &[Daemon, Of] : m_Targets) {
    if (!counts(Of, Asked))
      continue;
    Running += Of.m_Running;
    if (!Of.m_IsOpen)
      continue;
    if (!Of.m_IsNew)
      Former += Of.m_Slots;
    else if (!Of.m_IsCold)
      Room += Of.m_Slots;
    else if (Asked.m_WithCold)
      Room += Of.m_Slots * ColdPart;
  }
  return Room > 0 && (Room >= Running || (Former > 0 && Room >= Former));
}

bool RolloutRoom::isFormerIdle(const Question &Asked) const {
  return std::none_of(
      m_Targets.begin(), m_Targets.end(), [&Asked](const auto &Of) {
        return !Of.second.m_IsNew &&
               (!counts(Of.second, Asked) || Of.second.m_Running > 0);
      });
}

bool RolloutRoom::hasTargets(const Question &Asked) const {
  return std::any_of(m_Targets.begin(), m_Targets.end(),
                     [&Asked](const auto &Of) {
                       return Of.second.m_IsNew && counts(Of.second, Asked);
                     });
}

} // namespace knapweedloft::policy
