#ifndef KNAPWEEDLOFT_MODEL_RAN_H
#define KNAPWEEDLOFT_MODEL_RAN_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::model {

/// Whether a target ran a request. No is only ever said as a proof.
enum class Ran : std::uint8_t { No, Yes, Unknown };

inline constexpr NameTable<Ran, 3> RanNames{{"no", "yes", "unknown"}};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_RAN_H
