#ifndef KNAPWEEDLOFT_HTTP_KEEPALIVE_H
#define KNAPWEEDLOFT_HTTP_KEEPALIVE_H

#include "http/HttpMessage.h"

#include "absl/time/time.h"

namespace knapweedloft::http {

/// \returns how long a connection may be kept idle after \p Last, at most
/// \p Longest. Servers state the time after which they close one in whole
/// seconds; below a second that is 0 or 1.
[[nodiscard]] absl::Duration idleTimeAfter(const HttpResponse &Last,
                                           absl::Duration Longest);

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_KEEPALIVE_H
