#ifndef KNAPWEEDLOFT_LINK_ENVELOPECODEC_H
#define KNAPWEEDLOFT_LINK_ENVELOPECODEC_H

#include "link/generated/link_generated.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace knapweedloft::link {

/// \returns \p Envelope as a frame with its length prefix.
std::string encodeFrame(const wire::EnvelopeT &Envelope);

/// Verifies \p Frame, which comes without its prefix and aligned to 8 bytes.
/// \returns null if it is no valid Envelope that holds a message.
std::unique_ptr<wire::EnvelopeT>
decodeFrame(std::span<const std::uint8_t> Frame);

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_ENVELOPECODEC_H
