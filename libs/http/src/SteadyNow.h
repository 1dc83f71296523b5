#ifndef KNAPWEEDLOFT_HTTP_STEADYNOW_H
#define KNAPWEEDLOFT_HTTP_STEADYNOW_H

#include "absl/time/time.h"

#include <chrono>

namespace knapweedloft::http {

/// \returns the monotonic clock as a time since boot.
[[nodiscard]] inline absl::Time steadyNow() {
  auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return absl::UnixEpoch() + absl::FromChrono(SinceBoot);
}

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_STEADYNOW_H
