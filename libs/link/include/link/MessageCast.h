#ifndef KNAPWEEDLOFT_LINK_MESSAGECAST_H
#define KNAPWEEDLOFT_LINK_MESSAGECAST_H

#include "link/generated/link_generated.h"

namespace knapweedloft::link {

/// \returns the message if it is a \p MessageT, else null.
template <typename MessageT> MessageT *as(wire::MessageUnion &Message) {
  return Message.type == wire::MessageUnionTraits<MessageT>::enum_value
             ? static_cast<MessageT *>(Message.value)
             : nullptr;
}

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_MESSAGECAST_H
