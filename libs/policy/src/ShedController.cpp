#include "policy/ShedController.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

// Gains per interval, with the wait in units of the target wait.
constexpr float IntegralGain = 0.012F;
constexpr float ProportionalGain = 0.04F;
constexpr float MaxWaitError = 3;
/// Factor of a share after an interval with free slots.
constexpr float IdleDecay = 0.7F;
constexpr float ArrivalSmoothing = 0.1F;
/// Shares below this are treated as 0.
constexpr float MinShare = 0.01F;

} // namespace

ShedController::State &ShedController::at(std::uint32_t Flow) {
  if (Flow >= m_Flows.size())
    m_Flows.resize((Flow / model::PriorityCount + 1) * model::PriorityCount);
  return m_Flows[Flow];
}

void ShedController::onArrival(std::uint32_t Flow) { at(Flow).m_Arrivals += 1; }

void ShedController::update(std::uint32_t Flow, absl::Duration Wait,
                            absl::Duration Target, bool IsIdle) {
  State &Controlled = at(Flow);
  auto Relative = static_cast<float>(absl::FDivDuration(Wait, Target));
  float Error = std::clamp(Relative - 1, -1.0F, MaxWaitError);
  float Trend =
      std::clamp(Relative - Controlled.m_LastWait, -MaxWaitError, MaxWaitError);
  Controlled.m_LastWait = Relative;
  Controlled.m_Share += IntegralGain * Error + ProportionalGain * Trend;
  if (IsIdle)
    Controlled.m_Share *= IdleDecay;
  Controlled.m_Share = std::clamp(Controlled.m_Share, 0.0F, 1.0F);
  if (Controlled.m_Share < MinShare && Relative < 1)
    Controlled.m_Share = 0;
}

void ShedController::endInterval() {
  float Arrivals = 0;
  float Levels = 0;
  m_IsActive = false;
  for (std::uint32_t Flow = 0; Flow < m_Flows.size(); ++Flow) {
    State &Controlled = m_Flows[Flow];
    Controlled.m_MeanArrivals +=
        ArrivalSmoothing * (Controlled.m_Arrivals - Controlled.m_MeanArrivals);
    Controlled.m_Arrivals = 0;
    m_IsActive = m_IsActive || Controlled.m_Share > 0;
    Arrivals += Controlled.m_MeanArrivals;
    Levels += Controlled.m_MeanArrivals * levelOf(Flow / model::PriorityCount);
  }
  m_MeanLevel = Arrivals > 0 ? Levels / Arrivals : 0;
}

float ShedController::levelOf(std::uint32_t Customer) const {
  std::size_t First = std::size_t{Customer} * model::PriorityCount;
  if (First >= m_Flows.size())
    return 0;
  // Everything below the most important priority with a shed share is shed.
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
