#ifndef KNAPWEEDLOFT_BENCH_LOOPBACKFLOOR_H
#define KNAPWEEDLOFT_BENCH_LOOPBACKFLOOR_H

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace knapweedloft::bench {

/// What a round of exchanges over plain sockets sends.
struct FloorPlan {
  std::size_t m_RequestBytes = 0;
  std::size_t m_AnswerBytes = 0;
  double m_PerSecond = 1000;
  absl::Duration m_Duration = absl::Seconds(1);
  std::uint64_t m_Seed = 1;
};

/// Sends requests one after the other through two relays on loopback, threads
/// with blocking sockets that look at nothing, to a third that answers.
/// \returns the round trips.
[[nodiscard]] std::vector<absl::Duration>
measureLoopbackFloor(const FloorPlan &Plan);

} // namespace knapweedloft::bench

#endif // KNAPWEEDLOFT_BENCH_LOOPBACKFLOOR_H
