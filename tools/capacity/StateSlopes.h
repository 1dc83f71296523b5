#ifndef KNAPWEEDLOFT_CAPACITY_STATESLOPES_H
#define KNAPWEEDLOFT_CAPACITY_STATESLOPES_H

#include "Sheet.h"

namespace knapweedloft::capacity {

/// Measures what the state costs by members and by customers: memory, image,
/// time of a change and of a start from an image. Needs no other process.
/// \returns the memory of the state at the size to come, in bytes.
double measureState(Sheet &Page);

} // namespace knapweedloft::capacity

#endif // KNAPWEEDLOFT_CAPACITY_STATESLOPES_H
