#ifndef KNAPWEEDLOFT_PLATFORM_PLATFORMERROR_H
#define KNAPWEEDLOFT_PLATFORM_PLATFORMERROR_H

#include "model/NameTable.h"

#include <cstdint>
#include <stdexcept>
#include <string>

namespace knapweedloft::platform {

enum class PlatformErrorKind : std::uint8_t {
  Unavailable,    ///< The log did not take the call.
  OutcomeUnknown, ///< An append may or may not have taken effect.
  OffsetExpired,  ///< The record asked for is no longer kept.
  NoSpace,        ///< The log takes no more appends for now.
  Malformed,      ///< The answer does not follow the protocol.
};

inline constexpr model::NameTable<PlatformErrorKind, 5> PlatformErrorKindNames{
    {"unavailable", "outcome-unknown", "offset-expired", "no-space",
     "malformed"}};

class PlatformError : public std::runtime_error {
public:
  PlatformError(PlatformErrorKind Kind, const std::string &What)
      : std::runtime_error(What), m_Kind(Kind) {}

  [[nodiscard]] PlatformErrorKind kind() const { return m_Kind; }

private:
  PlatformErrorKind m_Kind;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_PLATFORMERROR_H
