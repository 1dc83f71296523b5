#ifndef KNAPWEEDLOFT_BENCH_PROCESSCOST_H
#define KNAPWEEDLOFT_BENCH_PROCESSCOST_H

#include "absl/time/time.h"

#include <cstdint>
#include <sys/types.h>

namespace knapweedloft::bench {

/// What a process has used so far, as /proc tells.
struct ProcessCost {
  absl::Duration m_ProcessorTime;
  std::uint64_t m_ResidentKilobytes = 0;
};

[[nodiscard]] ProcessCost costOf(pid_t Process);

} // namespace knapweedloft::bench

#endif // KNAPWEEDLOFT_BENCH_PROCESSCOST_H
