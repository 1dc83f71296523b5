#ifndef KNAPWEEDLOFT_POLICY_ADMISSIONDECISION_H
#define KNAPWEEDLOFT_POLICY_ADMISSIONDECISION_H

#include "model/RefusalReason.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

enum class Verdict : std::uint8_t { Run, Queued, Refused };

/// The outcome of offering a ticket to Admission.
struct AdmissionDecision {
  Verdict m_Verdict = Verdict::Refused;
  model::RefusalReason m_Reason = model::RefusalReason::None;
  absl::Duration m_RetryAfter = absl::ZeroDuration(); ///< Set only if refused.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMISSIONDECISION_H
