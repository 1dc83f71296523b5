#ifndef KNAPWEEDLOFT_IO_MONOTONICCLOCK_H
#define KNAPWEEDLOFT_IO_MONOTONICCLOCK_H

#include "absl/time/time.h"

#include <ctime>

namespace knapweedloft::io {

/// \returns the monotonic clock as a time since boot. It goes on while the VM
/// is suspended, so that time limits run out meanwhile.
inline absl::Time monotonicNow() {
  timespec Clock{};
  ::clock_gettime(CLOCK_BOOTTIME, &Clock);
  return absl::TimeFromTimespec(Clock);
}

} // namespace knapweedloft::io

#endif // KNAPWEEDLOFT_IO_MONOTONICCLOCK_H
