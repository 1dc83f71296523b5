#ifndef KNAPWEEDLOFT_HARNESS_HTTPCALL_H
#define KNAPWEEDLOFT_HARNESS_HTTPCALL_H

#include "http/HttpClient.h"
#include "http/HttpResult.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::harness {

/// Sends \p Request to 127.0.0.1 port \p Port and blocks for its result.
[[nodiscard]] http::HttpResult
httpCall(std::uint16_t Port, http::HttpRequest Request,
         absl::Duration Timeout = absl::Seconds(10));

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_HTTPCALL_H
