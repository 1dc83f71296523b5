#ifndef KNAPWEEDLOFT_TELEMETRY_IMPORTANCE_H
#define KNAPWEEDLOFT_TELEMETRY_IMPORTANCE_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::telemetry {

/// Which lines are kept when there are too many: the higher, the longer.
enum class Importance : std::uint8_t {
  Routine, ///< A request that went well.
  Notable, ///< A request that was refused, failed or repeated.
  State    ///< What the process believes has changed; start, stop, reload.
};

inline constexpr model::NameTable<Importance, 3> ImportanceNames{
    {"routine", "notable", "state"}};

} // namespace knapweedloft::telemetry

#endif // KNAPWEEDLOFT_TELEMETRY_IMPORTANCE_H
