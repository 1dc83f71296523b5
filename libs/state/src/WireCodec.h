#ifndef KNAPWEEDLOFT_STATE_WIRECODEC_H
#define KNAPWEEDLOFT_STATE_WIRECODEC_H

#include "model/Member.h"
#include "model/Resource.h"
#include "state/generated/record_generated.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::state {

/// Conversions between model types and the generated wire types. Those from
/// the wire throw StateError where a value is not allowed.
[[nodiscard]] wire::ResourceUnion toWire(const model::Resource &What);
[[nodiscard]] model::Resource fromWire(const wire::ResourceUnion &What);
[[nodiscard]] wire::MemberT toWire(const model::Member &Who);
[[nodiscard]] model::Member fromWire(const wire::MemberT &Who);

[[nodiscard]] std::vector<std::uint8_t> toBytes(std::string_view Text);
[[nodiscard]] std::string toText(const std::vector<std::uint8_t> &Bytes);

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_WIRECODEC_H
