#ifndef KNAPWEEDLOFT_FLEET_SPREADFIGURES_H
#define KNAPWEEDLOFT_FLEET_SPREADFIGURES_H

#include "Figures.h"
#include "FleetSite.h"

namespace knapweedloft::fleet {

/// Seconds from accepted to in force on every daemon: plain, with the log
/// slow, and with a third of the daemons killed and started again.
void measureSpread(FleetSite &Fleet, Figures &Out);

} // namespace knapweedloft::fleet

#endif // KNAPWEEDLOFT_FLEET_SPREADFIGURES_H
