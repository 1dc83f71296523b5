#ifndef KNAPWEEDLOFT_POLICY_LIVENESS_H
#define KNAPWEEDLOFT_POLICY_LIVENESS_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::policy {

/// The state of a peer as this daemon's failure detector sees it.
enum class Liveness : std::uint8_t { Alive, Suspect, Dead };

inline constexpr model::NameTable<Liveness, 3> LivenessNames{
    {"alive", "suspect", "dead"}};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_LIVENESS_H
