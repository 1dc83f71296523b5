#ifndef KNAPWEEDLOFT_STATE_KEEPERCLAIM_H
#define KNAPWEEDLOFT_STATE_KEEPERCLAIM_H

#include "model/Incarnation.h"

#include <cstdint>
#include <string>

namespace knapweedloft::state {

/// Takes over the rate keeping of a shard. It holds if m_ExpectedEpoch is the
/// shard's epoch when the claim is applied; the epoch is then one more.
struct KeeperClaim {
  std::uint32_t m_Shard = 0;
  std::uint64_t m_ExpectedEpoch = 0;
  std::string m_Name; ///< The daemon that claims.
  model::Incarnation m_Incarnation = 0;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_KEEPERCLAIM_H
