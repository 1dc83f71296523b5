#ifndef KNAPWEEDLOFT_LINK_GREETING_H
#define KNAPWEEDLOFT_LINK_GREETING_H

#include "link/generated/link_generated.h"
#include "model/Member.h"

#include "absl/time/time.h"

namespace knapweedloft::link {

/// The protocol of the frames; peers of another number are refused.
inline constexpr std::uint16_t ProtocolNumber = 3;

wire::HelloT helloOf(const model::Member &Self, absl::Time Now);

model::Member memberOf(const wire::HelloT &Hello);

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_GREETING_H
