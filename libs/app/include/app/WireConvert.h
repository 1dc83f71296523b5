#ifndef KNAPWEEDLOFT_APP_WIRECONVERT_H
#define KNAPWEEDLOFT_APP_WIRECONVERT_H

#include "http/HttpMessage.h"
#include "link/generated/link_generated.h"
#include "model/ForwardId.h"
#include "policy/TargetFeedback.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::app {

namespace wire = link::wire;

using WireHeaders = std::vector<std::unique_ptr<wire::HeaderT>>;

[[nodiscard]] WireHeaders toWire(http::HeaderList Headers);
[[nodiscard]] http::HeaderList fromWire(WireHeaders Headers);

[[nodiscard]] wire::ForwardId toWire(const model::ForwardId &Id);
[[nodiscard]] model::ForwardId fromWire(const wire::ForwardId &Id);

/// \p PacePercent: of the message that carries the load; 0: none is named.
[[nodiscard]] policy::TargetFeedback fromWire(const wire::Load &Load,
                                              std::uint16_t PacePercent = 0);

[[nodiscard]] std::vector<std::uint8_t> toBytes(std::string_view Text);
[[nodiscard]] std::string toText(const std::vector<std::uint8_t> &Bytes);
/// \returns a view into \p Bytes.
[[nodiscard]] std::string_view viewOf(const std::vector<std::uint8_t> &Bytes);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_WIRECONVERT_H
