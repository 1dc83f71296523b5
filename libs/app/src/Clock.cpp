#include "app/Clock.h"

#include "absl/time/clock.h"

#include <ctime>

namespace knapweedloft::app {

absl::Time monotonicNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return absl::UnixEpoch() + absl::DurationFromTimespec(Now);
}

absl::Time wallNow() { return absl::Now(); }

} // namespace knapweedloft::app
