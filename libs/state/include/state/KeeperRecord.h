#ifndef KNAPWEEDLOFT_STATE_KEEPERRECORD_H
#define KNAPWEEDLOFT_STATE_KEEPERRECORD_H

#include "model/Incarnation.h"
#include "model/LogOffset.h"

#include <cstdint>
#include <string>

namespace knapweedloft::state {

/// Who grants tokens for the customers of one shard.
struct KeeperRecord {
  std::uint64_t m_Epoch = 0; ///< Fencing token; grows by one a takeover.
  std::string m_Name;
  model::Incarnation m_Incarnation = 0;
  model::LogOffset m_Since = 0; ///< Offset of the claim.
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_KEEPERRECORD_H
