#ifndef KNAPWEEDLOFT_APP_PROBLEM_H
#define KNAPWEEDLOFT_APP_PROBLEM_H

#include "http/HttpMessage.h"
#include "model/Ran.h"
#include "model/RefusalReason.h"

#include "absl/time/time.h"

#include <string>

namespace knapweedloft::app {

/// A refusal as callers meet it (RFC 9457, application/problem+json).
///
/// \code
///   {"type": "about:blank", "title": "over-rate", "status": 429,
///    "reason": "over-rate", "ran": "no", "retry_after_ms": 120,
///    "detail": "customer is over its rate"}
/// \endcode
struct Problem {
  model::RefusalReason m_Reason = model::RefusalReason::Internal;
  model::Ran m_Ran = model::Ran::No;
  /// When to come back; zero if coming back does not help.
  absl::Duration m_RetryAfter;
  std::string m_Detail;
};

/// \returns \p What as a response, with Retry-After in whole seconds, rounded
/// up.
[[nodiscard]] http::HttpResponse toResponse(const Problem &What);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_PROBLEM_H
