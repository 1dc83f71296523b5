#ifndef KNAPWEEDLOFT_LINK_MONOTONICCLOCK_H
#define KNAPWEEDLOFT_LINK_MONOTONICCLOCK_H

#include "absl/time/time.h"

#include <ctime>

namespace knapweedloft::link {

/// \returns the monotonic clock as a time since boot.
inline absl::Time monotonicNow() {
  timespec Clock{};
  ::clock_gettime(CLOCK_MONOTONIC, &Clock);
  return absl::TimeFromTimespec(Clock);
}

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_MONOTONICCLOCK_H
