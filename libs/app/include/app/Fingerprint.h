#ifndef KNAPWEEDLOFT_APP_FINGERPRINT_H
#define KNAPWEEDLOFT_APP_FINGERPRINT_H

#include "model/Quarantine.h"

#include <string_view>

namespace knapweedloft::app {

/// \returns a 64-bit FNV-1a hash that is the same on every daemon and never 0.
[[nodiscard]] model::Fingerprint fingerprintOf(std::string_view Customer,
                                               std::string_view Method,
                                               std::string_view Path,
                                               std::string_view Body);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_FINGERPRINT_H
