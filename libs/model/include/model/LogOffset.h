#ifndef KNAPWEEDLOFT_MODEL_LOGOFFSET_H
#define KNAPWEEDLOFT_MODEL_LOGOFFSET_H

#include <cstdint>

namespace knapweedloft::model {

/// Position of a record in the log; the first record has offset 0. State "at
/// offset N" has applied every record before N.
using LogOffset = std::uint64_t;

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_LOGOFFSET_H
