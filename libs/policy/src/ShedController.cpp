#include "policy/ShedController.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

// Gains for each interval; the wait is in units of the target.
constexpr float IntegralGain = 0.012F;
constexpr float ProportionalGain = 0.04F;
constexpr float MaxWaitError = 3;
/// What is left of a share after an interval with free slots.
constexpr float IdleDecay = 0.7F;
constexpr float ArrivalSmoothing = 0.1F;
/// Shares below count as none.
constexpr float NoShare = 0.01F;

} // namespace

ShedController::State &ShedController::at(std::uint32_t Flow) {
  if (Flow >= m_Flows.size())
    m_Flows.resize((Flow / model::PriorityCount + 1) * model::PriorityCount);
  return m_Flows[Flow];
}

void ShedController::onArrival(std::uint32_t Flow) { at(Flow).m_Arrivals += 1; }

void ShedController::update(std::uint32_t Flow, absl::Duration Wait,
                            absl::Duration Target, bool IsIdle) {
  State &Own = at(Flow);
  auto Relative = static_cast<float>(absl::FDivDuration(Wait, Target));
  float Error = std::clamp(Relative - 1, -1.0F, MaxWaitError);
  float Trend =
      std::clamp(Relative - Own.m_LastWait, -MaxWaitError, MaxWaitError);
  Own.m_LastWait = Relative;
  Own.m_Share += IntegralGain * Error + ProportionalGain * Trend;
  if (IsIdle)
    Own.m_Share *= IdleDecay;
  Own.m_Share = std::clamp(Own.m_Share, 0.0F, 1.0F);
  if (Own.m_Share < NoShare && Relative < 1)
    Own.m_Share = 0;
}

void ShedController::endInterval() {
  float Arrivals = 0;
  float Levels = 0;
  m_IsActive = false;
  for (std::uint32_t Flow = 0; Flow < m_Flows.size(); ++Flow) {
    State &Own = m_Flows[Flow];
    Own.m_MeanArrivals +=
        ArrivalSmoothing * (Own.m_Arrivals - Own.m_MeanArrivals);
    Own.m_Arrivals = 0;
    m_IsActive = m_IsActive || Own.m_Share > 0;
    Arrivals += Own.m_MeanArrivals;
    Levels += Own.m_MeanArrivals * levelOf(Flow / model::PriorityCount);
  }
  m_MeanLevel = Arrivals > 0 ? Levels / Arrivals : 0;
}

float ShedController::levelOf(std::uint32_t Customer) const {
  std::size_t First = std::size_t{Customer} * model::PriorityCount;
  if (First >= m_Flows.size())
    return 0;
  // The most important priority of which a share is shed; all below it go.
  for (std::size_t Band = 0; Band < model::PriorityCount; ++Band) {
    float Share = m_Flows[First + Band].m_Share;
    if (Share > 0)
      return static_cast<float>(model::PriorityCount - 1 - Band) + Share;
  }
  return 0;
}

float ShedController::shareOf(std::uint32_t Flow) const {
  return Flow < m_Flows.size() ? m_Flows[Flow].m_Share : 0;
}

} // namespace knapweedloft::policy
