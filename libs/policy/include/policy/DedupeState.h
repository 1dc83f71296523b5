#ifndef KNAPWEEDLOFT_POLICY_DEDUPESTATE_H
#define KNAPWEEDLOFT_POLICY_DEDUPESTATE_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::policy {

/// What is remembered of a request with an idempotency key.
enum class DedupeState : std::uint8_t {
  Running,  ///< It runs here, or is about to.
  Finished, ///< Its answer is kept.
  Unknown,  ///< It may have run; the answer is not to be had.
  Remote,   ///< Another daemon started it and has not told the end.
  Released, ///< It did not run; only sent, never kept.
};

inline constexpr model::NameTable<DedupeState, 5> DedupeStateNames{
    {"running", "finished", "unknown", "remote", "released"}};

/// How a request with an idempotency key is met.
enum class DedupeClaim : std::uint8_t {
  Fresh,    ///< Recorded as running now.
  Wait,     ///< A copy runs here; its answer will be this one's.
  Replay,   ///< Its answer is kept.
  Unknown,  ///< A copy may have run.
  Mismatch, ///< The key came with another request.
  Full,     ///< No room to remember it; it may not run.
};

inline constexpr model::NameTable<DedupeClaim, 6> DedupeClaimNames{
    {"fresh", "wait", "replay", "unknown", "mismatch", "full"}};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DEDUPESTATE_H
