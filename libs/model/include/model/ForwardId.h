#ifndef KNAPWEEDLOFT_MODEL_FORWARDID_H
#define KNAPWEEDLOFT_MODEL_FORWARDID_H

#include "model/Incarnation.h"

#include <compare>
#include <cstdint>
#include <utility>

namespace knapweedloft::model {

/// Identifies one forward of one request, unique in the fleet: the entry
/// daemon's incarnation and a number it never uses twice.
struct ForwardId {
  Incarnation m_Entry = 0;
  std::uint64_t m_Sequence = 0;

  friend auto operator<=>(const ForwardId &, const ForwardId &) = default;

  template <typename HashT>
  friend HashT AbslHashValue(HashT State, const ForwardId &Id) {
    return HashT::combine(std::move(State), Id.m_Entry, Id.m_Sequence);
  }
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_FORWARDID_H
