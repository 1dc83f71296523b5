#ifndef KNAPWEEDLOFT_APP_CLOCK_H
#define KNAPWEEDLOFT_APP_CLOCK_H

#include "absl/time/time.h"

namespace knapweedloft::app {

/// \returns the monotonic clock as time since an arbitrary start; it goes on
/// while the VM is suspended. Every decision of a daemon is made by it.
[[nodiscard]] absl::Time monotonicNow();

/// \returns wall time, for expiries and logs that operators read.
[[nodiscard]] absl::Time wallNow();

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_CLOCK_H
