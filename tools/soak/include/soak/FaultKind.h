#ifndef KNAPWEEDLOFT_SOAK_FAULTKIND_H
#define KNAPWEEDLOFT_SOAK_FAULTKIND_H

#include "model/NameTable.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::soak {

/// What a soak does to its site, at a VM that it draws unless said otherwise.
enum class FaultKind : std::uint8_t {
  KillDaemon,
  StopDaemon, ///< SIGTERM, and a start once it has ended.
  FreezeDaemon,
  HangUp, ///< SIGHUP: the settings are read again.
  KillAllDaemons,
  CrashTarget,
  LeaveTarget,
  TargetLimit,       ///< It names a rate limit in its answers.
  TargetSaysLeaving, ///< In its answers only.
  TargetDelay,       ///< Between the daemon and its target.
  TargetOneWay,
  TargetSilent,
  TargetReset,
  StoreDelay, ///< Between the daemon and the store.
  StoreReset,
  StoreAway,
  StoreLimited,
  StoreSilent,
  StoreLostAnswer,
  StoreLate,
  StoreAwayForAll,
  Compact,
  StoreRestored, ///< From an older copy; the operator writes again.
  Configure,     ///< A new version with another route.
  HotCustomer,
};

inline constexpr std::size_t FaultKindCount = 25;

inline constexpr model::NameTable<FaultKind, FaultKindCount> FaultKindNames{
    {"kill-daemon",       "stop-daemon",    "freeze-daemon",
     "hang-up",           "kill-all",       "crash-target",
     "leave-target",      "target-limit",   "target-says-leaving",
     "target-delay",      "target-one-way", "target-silent",
     "target-reset",      "store-delay",    "store-reset",
     "store-away",        "store-limited",  "store-silent",
     "store-lost-answer", "store-late",     "store-away-for-all",
     "compact",           "store-restored", "configure",
     "hot-customer"}};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_FAULTKIND_H
