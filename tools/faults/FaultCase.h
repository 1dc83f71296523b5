#ifndef KNAPWEEDLOFT_FAULTS_FAULTCASE_H
#define KNAPWEEDLOFT_FAULTS_FAULTCASE_H

#include "model/NameTable.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::faults {

/// What happens in the time of the fault.
enum class FaultCase : std::uint8_t {
  SlowDeepService, ///< Ten times slower, with half as much demand again.
  GreedyCustomer,  ///< One customer at five times its rate.
  ColdStart,       ///< A third of all targets restart cold.
  LyingHealth,     ///< One target of each service fails every call in 1 ms.
  RetryStorm,      ///< 1.5 times the capacity, then 0.8 of it.
  AllTwice,        ///< All of them together, twice.
};

inline constexpr std::size_t FaultCaseCount = 6;

inline constexpr model::NameTable<FaultCase, FaultCaseCount> FaultCaseNames{
    {"slow-deep-service", "greedy-customer", "cold-start", "lying-health",
     "retry-storm", "all-twice"}};

[[nodiscard]] constexpr bool includes(FaultCase Case, FaultCase Part) {
  return Case == Part || Case == FaultCase::AllTwice;
}

/// The course of a trial: warm-up, then faults with a pause after each.
inline constexpr absl::Duration WarmUp = absl::Seconds(8);
inline constexpr absl::Duration FaultLength = absl::Seconds(20);
inline constexpr absl::Duration Pause = absl::Seconds(10);

[[nodiscard]] constexpr int roundsOf(FaultCase Case) {
  return Case == FaultCase::AllTwice ? 2 : 1;
}

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_FAULTCASE_H
