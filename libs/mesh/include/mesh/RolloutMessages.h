#ifndef KNAPWEEDLOFT_MESH_ROLLOUTMESSAGES_H
#define KNAPWEEDLOFT_MESH_ROLLOUTMESSAGES_H

#include "link/generated/link_generated.h"
#include "mesh/RolloutOrder.h"
#include "policy/RolloutSample.h"

namespace knapweedloft::mesh {

[[nodiscard]] link::wire::RolloutSampleT
toWire(const policy::RolloutSample &Sample, const RolloutOrderId &Order);

/// \p Message came from the daemon \p From.
[[nodiscard]] policy::RolloutSample
fromWire(const link::wire::RolloutSampleT &Message, const model::Member &From);

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ROLLOUTMESSAGES_H
