#ifndef KNAPWEEDLOFT_POLICY_ROLLOUTPHASE_H
#define KNAPWEEDLOFT_POLICY_ROLLOUTPHASE_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::policy {

/// How far the roll-out of a version is.
enum class RolloutPhase : std::uint8_t {
  None,       ///< No order, or nobody has decided anything yet.
  Trial,      ///< The new version gets a small share of the requests.
  Switching,  ///< The new version gets more and more, up to all of them.
  Completed,  ///< Final: the former targets stop.
  RolledBack, ///< Final: the new version gets no more requests.
};

inline constexpr model::NameTable<RolloutPhase, 5> RolloutPhaseNames{
    {"none", "trial", "switching", "completed", "rolled-back"}};

[[nodiscard]] constexpr bool isFinal(RolloutPhase Phase) {
  return Phase == RolloutPhase::Completed || Phase == RolloutPhase::RolledBack;
}

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ROLLOUTPHASE_H
