#ifndef KNAPWEEDLOFT_IO_SUSPENDEDCLOCK_H
#define KNAPWEEDLOFT_IO_SUSPENDEDCLOCK_H

#include "absl/time/time.h"

namespace knapweedloft::io {

/// In this program the linker puts a clock in the place of the kernel's that
/// can act as after a suspension of the VM: the monotonic clock has stood still
/// and the one since boot has gone on.
class SuspendedClock {
public:
  static constexpr absl::Duration Length = absl::Seconds(5);

  SuspendedClock() = default;
  ~SuspendedClock();
  SuspendedClock(const SuspendedClock &) = delete;
  SuspendedClock &operator=(const SuspendedClock &) = delete;

  /// The VM goes on after it was suspended for Length.
  static void suspend();
};

} // namespace knapweedloft::io

#endif // KNAPWEEDLOFT_IO_SUSPENDEDCLOCK_H
