#ifndef KNAPWEEDLOFT_POLICY_TARGETFEEDBACK_H
#define KNAPWEEDLOFT_POLICY_TARGETFEEDBACK_H

#include "policy/AdmissionLoad.h"

namespace knapweedloft::policy {

/// Load that a target side reports with an answer or a heartbeat.
using TargetFeedback = AdmissionLoad;

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETFEEDBACK_H
