#include "TargetHealth.h"

namespace knapweedloft::policy {
namespace {

constexpr double Smoothing = 0.1;
constexpr std::uint32_t MinAnswers = 8;
constexpr std::uint32_t RequiredTrialSuccesses = 3;
constexpr absl::Duration EjectionDuration = absl::Seconds(1);

} // namespace

bool TargetHealth::hasEnoughAnswers() const { return m_Answers >= MinAnswers; }

void TargetHealth::onSuccess() {
  ++m_Answers;
  m_FailureShare -= Smoothing * m_FailureShare;
  if (!m_IsEjected || ++m_TrialSuccesses < RequiredTrialSuccesses)
    return;
  m_IsEjected = false;
  m_FailureShare = 0;
  m_Answers = 0;
}

void TargetHealth::onFailure() {
  ++m_Answers;
  m_FailureShare += Smoothing * (1 - m_FailureShare);
}

void TargetHealth::eject(absl::Time Now) {
  if (m_IsEjected && Now < m_EjectedUntil)
    return;
  m_IsEjected = true;
  m_TrialSuccesses = 0;
  m_EjectedUntil = Now + EjectionDuration;
}

bool TargetHealth::isUsable(std::uint32_t Outstanding, absl::Time Now) const {
  if (!m_IsEjected)
    return true;
  return Now >= m_EjectedUntil && Outstanding == 0;
}

} // namespace knapweedloft::policy
