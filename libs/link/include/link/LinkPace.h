#ifndef KNAPWEEDLOFT_LINK_LINKPACE_H
#define KNAPWEEDLOFT_LINK_LINKPACE_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::link {

/// How often heartbeats go over a link. A link is brisk if either end wants it
/// to be.
enum class LinkPace : std::uint8_t {
  Brisk,   ///< For links by which members judge each other.
  Relaxed, ///< For links that carry requests only: half as often, most of them
           ///< bare.
};

inline constexpr model::NameTable<LinkPace, 2> LinkPaceNames{
    {"brisk", "relaxed"}};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_LINKPACE_H
