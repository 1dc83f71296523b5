#ifndef KNAPWEEDLOFT_LINK_TRAFFICCOUNTER_H
#define KNAPWEEDLOFT_LINK_TRAFFICCOUNTER_H

#include "link/LinkTraffic.h"

#include <atomic>
#include <cstddef>

namespace knapweedloft::link {

/// Counts frames on any thread.
class TrafficCounter {
public:
  void countSent(std::size_t Bytes) {
    m_FramesSent.fetch_add(1, std::memory_order_relaxed);
    m_BytesSent.fetch_add(Bytes, std::memory_order_relaxed);
  }

  void countReceived(std::size_t Bytes) {
    m_FramesReceived.fetch_add(1, std::memory_order_relaxed);
    m_BytesReceived.fetch_add(Bytes, std::memory_order_relaxed);
  }

  [[nodiscard]] LinkTraffic read() const {
    return {m_FramesSent.load(), m_BytesSent.load(), m_FramesReceived.load(),
            m_BytesReceived.load()};
  }

private:
  std::atomic<std::uint64_t> m_FramesSent{0};
  std::atomic<std::uint64_t> m_BytesSent{0};
  std::atomic<std::uint64_t> m_FramesReceived{0};
  std::atomic<std::uint64_t> m_BytesReceived{0};
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_TRAFFICCOUNTER_H
