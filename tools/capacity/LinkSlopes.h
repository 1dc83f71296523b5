#ifndef KNAPWEEDLOFT_CAPACITY_LINKSLOPES_H
#define KNAPWEEDLOFT_CAPACITY_LINKSLOPES_H

#include "LinearFit.h"
#include "Sheet.h"
#include "link/LinkPace.h"

namespace knapweedloft::capacity {

/// What idle links of one pace cost one end, by their number.
struct LinkCost {
  LinearFit m_Bytes;  ///< Sent, a second.
  LinearFit m_Memory; ///< Of both ends, in bytes.
};

/// Opens tens of links on 127.0.0.1 in this process and measures them idle.
[[nodiscard]] LinkCost measureLinks(Sheet &Page, link::LinkPace Pace);

} // namespace knapweedloft::capacity

#endif // KNAPWEEDLOFT_CAPACITY_LINKSLOPES_H
