#ifndef KNAPWEEDLOFT_POLICY_FORWARDENTRY_H
#define KNAPWEEDLOFT_POLICY_FORWARDENTRY_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::policy {

/// What ForwardLedger knows of a forward that arrives.
enum class ForwardEntry : std::uint8_t {
  Fresh,    ///< Recorded now; the only value after which it may run.
  Running,  ///< A second copy of one that waits or runs.
  Finished, ///< A second copy of one that has its outcome.
  Closed,   ///< It may never run: a query said so, or it was forgotten.
};

inline constexpr model::NameTable<ForwardEntry, 4> ForwardEntryNames{
    {"fresh", "running", "finished", "closed"}};

/// What a query about a forward learns.
enum class ForwardFate : std::uint8_t {
  NotRun,   ///< It did not run, and from now on never will.
  Running,  ///< It waits or runs; its outcome will follow.
  Finished, ///< It has its outcome.
  Unknown,  ///< It may have been here and was forgotten.
};

inline constexpr model::NameTable<ForwardFate, 4> ForwardFateNames{
    {"not-run", "running", "finished", "unknown"}};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FORWARDENTRY_H
