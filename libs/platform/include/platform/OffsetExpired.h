#ifndef KNAPWEEDLOFT_PLATFORM_OFFSETEXPIRED_H
#define KNAPWEEDLOFT_PLATFORM_OFFSETEXPIRED_H

#include "model/LogOffset.h"
#include "platform/PlatformError.h"

namespace knapweedloft::platform {

/// The record asked for is no longer kept.
class OffsetExpired : public PlatformError {
public:
  OffsetExpired(model::LogOffset First, model::LogOffset End)
      : PlatformError(PlatformErrorKind::OffsetExpired,
                      "the offset has expired"),
        m_First(First), m_End(End) {}

  /// \returns the oldest record that is kept.
  [[nodiscard]] model::LogOffset first() const { return m_First; }
  /// \returns one past the newest record.
  [[nodiscard]] model::LogOffset end() const { return m_End; }

private:
  model::LogOffset m_First;
  model::LogOffset m_End;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_OFFSETEXPIRED_H
