#ifndef KNAPWEEDLOFT_PLATFORM_LOGSERVICE_H
#define KNAPWEEDLOFT_PLATFORM_LOGSERVICE_H

#include "model/LogOffset.h"
#include "platform/LogRead.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace knapweedloft::platform {

/// The platform's append-only log, as narrow as the system needs it. The hooks
/// may block; they are called on threads that may.
///
/// Both throw PlatformError. An append that failed with
/// PlatformErrorKind::OutcomeUnknown may have taken effect.
struct LogService {
  /// Appends \p Payload to \p Stream. \returns the offset it was given.
  std::function<model::LogOffset(const std::string &Stream,
                                 std::string_view Payload)>
      m_Append;

  /// Reads at most \p MaxRecords from \p From on, waiting up to \p Wait for the
  /// first.
  std::function<LogRead(const std::string &Stream, model::LogOffset From,
                        std::size_t MaxRecords, absl::Duration Wait)>
      m_Read;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_LOGSERVICE_H
