#include "SuspendedClock.h"

#include <ctime>

namespace {

bool WasSuspended = false;

} // namespace

extern "C" {

// The names are the linker's. NOLINTBEGIN
int __real_clock_gettime(clockid_t Clock, timespec *Now);

int __wrap_clock_gettime(clockid_t Clock, timespec *Now) {
  int Result = __real_clock_gettime(Clock, Now);
  if (WasSuspended && Clock == CLOCK_BOOTTIME)
    Now->tv_sec +=
        absl::ToInt64Seconds(knapweedloft::io::SuspendedClock::Length);
  return Result;
}
// NOLINTEND
}

namespace knapweedloft::io {

SuspendedClock::~SuspendedClock() { WasSuspended = false; }

void SuspendedClock::suspend() { WasSuspended = true; }

} // namespace knapweedloft::io
