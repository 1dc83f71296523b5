#include "TargetHealth.h"

namespace knapweedloft::policy {
namespace {

constexpr double Smoothing = 0.1;
constexpr std::uint32_t EnoughAnswers = 8;
constexpr std::uint32_t TrialsNeeded = 3;
constexpr absl::Duration EjectionLength = absl::Seconds(1);

} // namespace

bool TargetHealth::isKnown() const { return m_Answers >= EnoughAnswers; }

void TargetHealth::onSuccess() {
  ++m_Answers;
  m_Failures -= Smoothing * m_Failures;
  if (!m_IsEjected || ++m_TrialSuccesses < TrialsNeeded)
    return;
  m_IsEjected = false;
  m_Failures = 0;
  m_Answers = 0;
}

void TargetHealth::onFailure() {
  ++m_Answers;
  m_Failures += Smoothing * (1 - m_Failures);
}

void TargetHealth::eject(absl::Time Now) {
  if (m_IsEjected && Now < m_Until)
    return;
  m_IsEjected = true;
  m_TrialSuccesses = 0;
  m_Until = Now + EjectionLength;
}

bool TargetHealth::isUsable(std::uint32_t Outstanding, absl::Time Now) const {
  if (!m_IsEjected)
    return true;
  return Now >= m_Until && Outstanding == 0;
}

} // namespace knapweedloft::policy
