#ifndef KNAPWEEDLOFT_PLATFORM_HTTPLOG_H
#define KNAPWEEDLOFT_PLATFORM_HTTPLOG_H

#include "platform/LogService.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedloft::platform {

struct HttpLogOptions {
  std::string m_Address; ///< IP number of the log service.
  std::uint16_t m_Port = 0;
  /// For one call, on top of the time that a read asks the service to wait.
  absl::Duration m_Timeout = absl::Seconds(5);
  absl::Duration m_ConnectTimeout = absl::Seconds(2);
  /// A larger answer counts as malformed.
  std::size_t m_MaxAnswerBytes = std::size_t{64} << 20;
};

/// The platform's log over HTTP, by libcurl.
///
/// `POST /streams/NAME` appends the body and answers `{"offset": N}`.
/// `GET /streams/NAME?from=N&max=M&wait_ms=T` answers `{"first": N, "end": N,
/// "records": [{"offset": N, "payload": "BASE64"}]}`. 410 stands for an expired
/// offset, 507 for no space and 503 for an outage.
///
/// The hooks may be called from several threads; each thread and hook keeps a
/// connection of its own.
///
/// \code
///   LogService Log = makeHttpLog({.m_Address = "10.0.0.9", .m_Port = 8000});
///   model::LogOffset Offset = Log.m_Append("config", Payload);
/// \endcode
/// \throws PlatformError if the address is not an IP number.
[[nodiscard]] LogService makeHttpLog(const HttpLogOptions &Options);

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_HTTPLOG_H
