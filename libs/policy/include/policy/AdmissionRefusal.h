#ifndef KNAPWEEDLOFT_POLICY_ADMISSIONREFUSAL_H
#define KNAPWEEDLOFT_POLICY_ADMISSIONREFUSAL_H

#include "model/RefusalReason.h"
#include "policy/Ticket.h"

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// A ticket that is refused after it was queued; it has not run.
struct AdmissionRefusal {
  TicketId m_Id = 0;
  model::RefusalReason m_Reason = model::RefusalReason::None;
  absl::Duration m_RetryAfter = absl::ZeroDuration();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMISSIONREFUSAL_H
