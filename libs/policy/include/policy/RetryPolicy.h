#ifndef KNAPWEEDLOFT_POLICY_RETRYPOLICY_H
#define KNAPWEEDLOFT_POLICY_RETRYPOLICY_H

#include "policy/Backoff.h"
#include "policy/RetryBudget.h"
#include "policy/RetryContext.h"
#include "policy/RetryDecision.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Decides on retries on one edge of the call graph, from this daemon to one
/// service. Not thread-safe.
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
    bool m_UseBudget = true;               ///< The RetryBudget of the edge.
    bool m_StopOnDownstreamFailure = true; ///< No retry of downstream failures.
    int m_MaxAttempts = 3;                 ///< Per request, on this edge.
    RetryBudget::Options m_Budget;
    Backoff::Options m_Backoff;
  };

  explicit RetryPolicy(const Options &Settings);

  /// Reports a first attempt on this edge. A retry by an upstream hop or a
  /// resend by a target adds nothing to the budget.
  void onFirstAttempt(bool IsResend);

  /// Charges a resend by a target to the budget, like a retry on this edge.
  /// \returns false if it is to be refused with RetryBudgetSpent.
  [[nodiscard]] bool tryResend();

  /// Decides whether to retry; a retry is charged to the budget.
  [[nodiscard]] RetryDecision decide(const RetryContext &Failure,
                                     absl::BitGenRef Random, absl::Time Now);

private:
  Options m_Settings;
  RetryBudget m_Budget;
  Backoff m_Backoff;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RETRYPOLICY_H
