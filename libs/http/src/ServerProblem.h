#ifndef KNAPWEEDLOFT_HTTP_SERVERPROBLEM_H
#define KNAPWEEDLOFT_HTTP_SERVERPROBLEM_H

#include "http/HttpMessage.h"
#include "model/Ran.h"
#include "model/RefusalReason.h"

namespace knapweedloft::http {

/// \returns the problem+json (RFC 9457) answer by which the server itself
/// refuses a request, before or instead of its handler.
[[nodiscard]] HttpResponse
serverProblem(int Status, model::RefusalReason Reason, model::Ran Ran);

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_SERVERPROBLEM_H
