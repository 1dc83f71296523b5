#ifndef KNAPWEEDLOFT_MODEL_INCARNATION_H
#define KNAPWEEDLOFT_MODEL_INCARNATION_H

#include <cstdint>

namespace knapweedloft::model {

/// One life of one daemon: 64 random bits drawn at start, never 0. A restarted
/// daemon has the same name and another incarnation.
using Incarnation = std::uint64_t;

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_INCARNATION_H
