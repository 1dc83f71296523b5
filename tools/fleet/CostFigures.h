#ifndef KNAPWEEDLOFT_FLEET_COSTFIGURES_H
#define KNAPWEEDLOFT_FLEET_COSTFIGURES_H

#include "Figures.h"

#include <cstdint>

namespace knapweedloft::fleet {

/// What control costs a daemon in messages and bytes, by the size of the
/// fleet, and the appends of joins and deaths when a data center is lost and
/// returns at once.
void measureCost(std::uint64_t Seed, Figures &Out);

} // namespace knapweedloft::fleet

#endif // KNAPWEEDLOFT_FLEET_COSTFIGURES_H
