#ifndef KNAPWEEDLOFT_CAPACITY_DAEMONSLOPES_H
#define KNAPWEEDLOFT_CAPACITY_DAEMONSLOPES_H

#include "Sheet.h"

namespace knapweedloft::capacity {

/// Starts real daemons on this machine and measures, by their number, links,
/// bytes, processor time and memory of a daemon that serves nobody.
/// \p StateMemory is what the state takes at the size to come, in bytes.
void measureDaemons(Sheet &Page, double StateMemory);

} // namespace knapweedloft::capacity

#endif // KNAPWEEDLOFT_CAPACITY_DAEMONSLOPES_H
