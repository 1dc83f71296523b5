#ifndef KNAPWEEDLOFT_FLEET_SERVICEFIGURES_H
#define KNAPWEEDLOFT_FLEET_SERVICEFIGURES_H

#include "Figures.h"
#include "FleetSite.h"

namespace knapweedloft::fleet {

/// A withdrawn key on open connections, grants against a customer's rate, and
/// service while a data center is withdrawn and returns.
void measureService(FleetSite &Fleet, std::uint64_t Seed, Figures &Out);

} // namespace knapweedloft::fleet

#endif // KNAPWEEDLOFT_FLEET_SERVICEFIGURES_H
