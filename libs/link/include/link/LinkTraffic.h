#ifndef KNAPWEEDLOFT_LINK_LINKTRAFFIC_H
#define KNAPWEEDLOFT_LINK_LINKTRAFFIC_H

#include <cstdint>

namespace knapweedloft::link {

/// What a node has sent and received since its start, length prefixes
/// included.
struct LinkTraffic {
  std::uint64_t m_FramesSent = 0;
  std::uint64_t m_BytesSent = 0;
  std::uint64_t m_FramesReceived = 0;
  std::uint64_t m_BytesReceived = 0;
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_LINKTRAFFIC_H
