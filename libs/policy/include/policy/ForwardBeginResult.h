#ifndef KNAPWEEDLOFT_POLICY_FORWARDBEGINRESULT_H
#define KNAPWEEDLOFT_POLICY_FORWARDBEGINRESULT_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::policy {

/// What ForwardLedger::begin() returns for a forward that was received.
enum class ForwardBeginResult : std::uint8_t {
  Fresh,    ///< Recorded now; the only value after which it may run.
  Running,  ///< Duplicate of a forward that is queued or runs.
  Finished, ///< Duplicate of a forward that has its outcome.
  Closed,   ///< It must never run: a query was answered NotRun, or its record
            ///< was dropped.
};

inline constexpr model::NameTable<ForwardBeginResult, 4>
    ForwardBeginResultNames{{"fresh", "running", "finished", "closed"}};

/// The status of a forward, as the target side answers a query.
enum class ForwardStatus : std::uint8_t {
  NotRun,   ///< It did not run, and from now on never will.
  Running,  ///< It is queued or runs; its outcome will follow.
  Finished, ///< It has its outcome.
  Unknown,  ///< It may have run; its record may have been dropped.
};

inline constexpr model::NameTable<ForwardStatus, 4> ForwardStatusNames{
    {"not-run", "running", "finished", "unknown"}};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FORWARDBEGINRESULT_H
