#ifndef KNAPWEEDLOFT_POLICY_RETRYPOLICY_H
#define KNAPWEEDLOFT_POLICY_RETRYPOLICY_H

#include "policy/Backoff.h"
#include "policy/RetryBudget.h"
#include "policy/RetryContext.h"
#include "policy/RetryDecision.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Decides about retries on one edge: from this daemon to one service.
/// Not thread-safe.
///
/// \code
///   Policy.onFirstAttempt(IsResend);
///   ...
///   RetryDecision Next = Policy.decide(Failure, Random, Now);
///   if (Next.m_IsRetry && Left.tryTake())
///     sendAfter(Next.m_Wait);
/// \endcode
class RetryPolicy {
public:
  struct Options {
    bool m_UseBudget = true;    ///< The ratio budget of the edge.
    bool m_UseFromBelow = true; ///< No retry of failures from below.
    int m_MaxAttempts = 3;      ///< On this edge, for one request.
    RetryBudget::Options m_Budget;
    Backoff::Options m_Backoff;
  };

  explicit RetryPolicy(const Options &Settings);

  /// Tells a first attempt on this edge. A resend, by a hop above or by a
  /// target that repeats a call, earns no retries.
  void onFirstAttempt(bool IsResend);

  /// Takes a resend by a target from the budget, like a retry of its own.
  /// \returns false if it is to be refused with RetryBudgetSpent.
  [[nodiscard]] bool tryResend();

  /// Takes from the budget if the decision is to retry.
  [[nodiscard]] RetryDecision decide(const RetryContext &Failure,
                                     absl::BitGenRef Random, absl::Time Now);

private:
  Options m_Settings;
  RetryBudget m_Budget;
  Backoff m_Backoff;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RETRYPOLICY_H
