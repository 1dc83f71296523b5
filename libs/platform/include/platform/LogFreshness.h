#ifndef KNAPWEEDLOFT_PLATFORM_LOGFRESHNESS_H
#define KNAPWEEDLOFT_PLATFORM_LOGFRESHNESS_H

#include "model/LogOffset.h"

#include "absl/time/time.h"

#include <optional>

namespace knapweedloft::platform {

/// What a follower knows about the end of the log.
struct LogFreshness {
  model::LogOffset m_End = 0; ///< End of the log when it was last read.
  /// When that read was sent; infinite past before the first one.
  absl::Time m_ReadAt = absl::InfinitePast();
  /// Since when the log has not answered; empty while it does.
  std::optional<absl::Time> m_UnavailableSince = std::nullopt;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_LOGFRESHNESS_H
