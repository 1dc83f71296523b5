#ifndef KNAPWEEDLOFT_POLICY_RETRYDECISION_H
#define KNAPWEEDLOFT_POLICY_RETRYDECISION_H

#include "model/RefusalReason.h"

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Whether a failed attempt is followed by another.
struct RetryDecision {
  bool m_IsRetry = false;
  absl::Duration m_Wait; ///< Before the next attempt.
  /// Why there is no retry, for the answer; the reason of the failed attempt
  /// where that is more specific.
  model::RefusalReason m_Reason = model::RefusalReason::None;
  /// Sent upstream: a retry there would not help.
  bool m_IsFinal = true;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RETRYDECISION_H
