#ifndef KNAPWEEDLOFT_POLICY_RETRYDECISION_H
#define KNAPWEEDLOFT_POLICY_RETRYDECISION_H

#include "model/RefusalReason.h"

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Whether a failed attempt is followed by another.
struct RetryDecision {
  bool m_IsRetry = false;
  absl::Duration m_Wait; ///< Before the next attempt.
  /// Why not, for the answer; the reason of the attempt if that says it best.
  model::RefusalReason m_Reason = model::RefusalReason::None;
  /// To be said upstream: a retry there would do no good.
  bool m_IsFinal = true;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RETRYDECISION_H
