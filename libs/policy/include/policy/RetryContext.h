#ifndef KNAPWEEDLOFT_POLICY_RETRYCONTEXT_H
#define KNAPWEEDLOFT_POLICY_RETRYCONTEXT_H

#include "model/Ran.h"
#include "model/RefusalReason.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Describes a failed attempt.
struct RetryContext {
  /// None where the target itself answered with an error.
  model::RefusalReason m_Reason = model::RefusalReason::None;
  model::Ran m_Ran = model::Ran::Unknown;
  bool m_IsIdempotent = false;
  /// The failure arose downstream of the called target, or the answer says not
  /// to retry: a hop closer to the failure has already retried.
  bool m_IsDownstreamFailure = false;
  /// The request is itself a retry by an upstream hop, or a resend by a target.
  bool m_IsResend = false;
  std::uint16_t m_AttemptsLeft = 0; ///< Of the request's AttemptBudget.
  int m_Attempt = 1;                ///< The one that failed, from 1.
  absl::Time m_Deadline = absl::InfiniteFuture();
  absl::Duration m_ExpectedLatency =
      absl::ZeroDuration(); ///< Minimum time for a retry.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RETRYCONTEXT_H
