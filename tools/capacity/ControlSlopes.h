#ifndef KNAPWEEDLOFT_CAPACITY_CONTROLSLOPES_H
#define KNAPWEEDLOFT_CAPACITY_CONTROLSLOPES_H

#include "Sheet.h"

#include <cstdint>

namespace knapweedloft::capacity {

/// Runs the control components of tens to hundreds of daemons on fake links in
/// virtual time, and measures messages, bytes and processor time a daemon by
/// the size of the fleet, at rest and with changes.
void measureControl(Sheet &Page, std::uint64_t Seed);

} // namespace knapweedloft::capacity

#endif // KNAPWEEDLOFT_CAPACITY_CONTROLSLOPES_H
