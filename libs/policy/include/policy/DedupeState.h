#ifndef KNAPWEEDLOFT_POLICY_DEDUPESTATE_H
#define KNAPWEEDLOFT_POLICY_DEDUPESTATE_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::policy {

/// The recorded state of a request with an idempotency key.
enum class DedupeState : std::uint8_t {
  Running,  ///< It runs here, or is about to.
  Finished, ///< Its answer is stored.
  Unknown,  ///< It may have run; the answer is not available.
  Remote,   ///< Another daemon started it and has not reported the end.
  Released, ///< It did not run; only sent to peers, never stored.
};

inline constexpr model::NameTable<DedupeState, 5> DedupeStateNames{
    {"running", "finished", "unknown", "remote", "released"}};

/// How a request with an idempotency key is handled.
enum class DedupeClaim : std::uint8_t {
  Fresh,    ///< First use of the key: recorded as running now.
  Wait,     ///< A copy runs here; its answer also answers this one.
  Replay,   ///< The answer of an earlier copy is stored.
  Unknown,  ///< An earlier copy may have run.
  Mismatch, ///< The key was used with a different request.
  Full,     ///< The table has no room to record it, so it may not run.
};

inline constexpr model::NameTable<DedupeClaim, 6> DedupeClaimNames{
    {"fresh", "wait", "replay", "unknown", "mismatch", "full"}};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DEDUPESTATE_H
