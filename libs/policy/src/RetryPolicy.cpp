#include "policy/RetryPolicy.h"

namespace knapweedloft::policy {
namespace {

/// \returns whether another attempt could run a request twice that is not
/// idempotent.
bool isUnsafeToRetry(const RetryContext &Failure) {
  return Failure.m_Ran != model::Ran::No && !Failure.m_IsIdempotent;
}

/// \returns whether another attempt may succeed after this kind of failure.
bool isTransient(const RetryContext &Failure) {
  if (Failure.m_Ran == model::Ran::No)
    return model::mayTryElsewhere(Failure.m_Reason);
  return Failure.m_Reason == model::RefusalReason::None ||
         Failure.m_Reason == model::RefusalReason::OutcomeUnknown ||
         Failure.m_Reason == model::RefusalReason::BadAnswer;
}

RetryDecision stop(const RetryContext &Failure) {
  return {.m_IsRetry = false,
          .m_Wait = absl::ZeroDuration(),
          .m_Reason = Failure.m_Reason,
          .m_IsFinal = true};
}

} // namespace

RetryPolicy::RetryPolicy(const Options &Settings)
    : m_Settings(Settings), m_Budget(Settings.m_Budget),
      m_Backoff(Settings.m_Backoff) {}

void RetryPolicy::onFirstAttempt(bool IsResend) {
  if (!IsResend)
    m_Budget.deposit();
}

bool RetryPolicy::tryResend() {
  return !m_Settings.m_UseBudget || m_Budget.tryTake();
}

RetryDecision RetryPolicy::decide(const RetryContext &Failure,
                                  absl::BitGenRef Random, absl::Time Now) {
  if (isUnsafeToRetry(Failure) || !isTransient(Failure))
    return stop(Failure);
  if (m_Settings.m_StopOnDownstreamFailure &&
      (Failure.m_IsDownstreamFailure || Failure.m_IsResend))
    return stop(Failure);
  if (Failure.m_Attempt >= m_Settings.m_MaxAttempts)
    return stop(Failure);
  if (Failure.m_AttemptsLeft == 0)
    return stop(Failure);
  absl::Duration Wait = m_Backoff.delayBefore(Failure.m_Attempt + 1, Random);
  if (Now + Wait + Failure.m_ExpectedLatency >= Failure.m_Deadline)
    return stop(Failure);
  if (m_Settings.m_UseBudget && !m_Budget.tryTake())
    return stop(Failure);
  return {.m_IsRetry = true,
          .m_Wait = Wait,
          .m_Reason = model::RefusalReason::None,
          .m_IsFinal = false};
}

} // namespace knapweedloft::policy
