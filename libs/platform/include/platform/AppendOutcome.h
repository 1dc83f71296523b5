#ifndef KNAPWEEDLOFT_PLATFORM_APPENDOUTCOME_H
#define KNAPWEEDLOFT_PLATFORM_APPENDOUTCOME_H

#include "model/LogOffset.h"
#include "platform/PlatformError.h"

#include <optional>

namespace knapweedloft::platform {

/// What came of an append, its repetitions included.
struct AppendOutcome {
  /// Why it failed; empty if an attempt took effect. OutcomeUnknown if any of
  /// the attempts may have.
  std::optional<PlatformErrorKind> m_Failure = std::nullopt;
  /// Offset of the record; empty if it failed or was read back meanwhile.
  std::optional<model::LogOffset> m_Offset = std::nullopt;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_APPENDOUTCOME_H
