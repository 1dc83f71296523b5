#ifndef KNAPWEEDLOFT_FAULTS_LIMITTRIAL_H
#define KNAPWEEDLOFT_FAULTS_LIMITTRIAL_H

#include "Limiter.h"

#include <cstdint>

namespace knapweedloft::faults {

/// What a limiter reached in one trial.
struct LimitResult {
  double m_StartSeconds = 0; ///< Until 95% of the offered load came through.
  double m_Before = 0;       ///< Goodput as a share of the ideal, steady.
  double m_Slow = 0;         ///< While slow, with three times the demand.
  double m_After = 0;        ///< From 2 s after it has sped up again.
  double m_Inside = 0; ///< Latency in the target while slow, by the least.
  double m_Limit = 0;  ///< Mean limit while slow.
};

/// Drives one target of \p Slots slots through 20 s at 0.8 of its capacity,
/// 30 s at a tenth of its speed and three times the demand, and 20 s as at
/// first. Calls wait 200 ms for a slot at most and 3 s in all.
[[nodiscard]] LimitResult runLimitTrial(const Limiter &Limit, double Slots,
                                        std::uint64_t Seed);

/// Prints the table of all ways on all sizes.
/// \returns whether the product's limit meets its targets.
bool printLimitTable(std::uint64_t Seed);

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_LIMITTRIAL_H
