#ifndef KNAPWEEDLOFT_APP_REQUESTHEADERS_H
#define KNAPWEEDLOFT_APP_REQUESTHEADERS_H

#include "http/HttpMessage.h"

#include "absl/time/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace knapweedloft::app {

inline constexpr std::string_view AuthorizationHeader = "Authorization";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
/// Names the running forward that a target calls on behalf of.
inline constexpr std::string_view ContextHeader = "Knapweedloft-Context";
/// Milliseconds that are left for a request.
inline constexpr std::string_view TimeoutHeader = "Knapweedloft-Timeout-Ms";

/// \returns the key of "Authorization: Bearer KEY", or nothing.
[[nodiscard]] std::optional<std::string_view>
bearerKey(const http::HeaderList &Headers);

/// \returns the timeout that the caller set, or nothing if there is none or it
/// is not a whole number of milliseconds above 0.
[[nodiscard]] std::optional<absl::Duration>
requestedTimeout(const http::HeaderList &Headers);

/// \returns the fields that may reach a target: neither the caller's key, nor
/// fields that hold for one connection only, nor the system's own.
[[nodiscard]] http::HeaderList headersForTarget(const http::HeaderList &From);

/// \returns the fields of a target's answer that may reach the caller.
[[nodiscard]] http::HeaderList headersForCaller(const http::HeaderList &From);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_REQUESTHEADERS_H
