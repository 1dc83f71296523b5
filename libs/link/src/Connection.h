#ifndef KNAPWEEDLOFT_LINK_CONNECTION_H
#define KNAPWEEDLOFT_LINK_CONNECTION_H

#include "FrameBuffer.h"
#include "MessageAge.h"
#include "SendQueue.h"
#include "SilenceMonitor.h"
#include "io/EventLoop.h"
#include "io/FileDescriptor.h"
#include "link/LinkNode.h"

#include <cstdint>
#include <memory>
#include <utility>

namespace knapweedloft::link {

/// One TCP connection that is, or is to become, a link. Of the node's thread,
/// but for the send queue.
struct Connection {
  enum class Phase : std::uint8_t {
    Connecting, ///< The TCP connect is under way.
    Greeting,   ///< Waits for the peer's Hello.
    Up
  };

  Connection(PeerHandle Link, io::FileDescriptor Socket, Phase Start,
             std::size_t MaxQueuedBytes, absl::Duration SilentAfter,
             absl::Time Now)
      : m_Link(Link), m_Socket(std::move(Socket)), m_Phase(Start),
        m_Incoming(MaxGreetingBytes),
        m_Outgoing(std::make_shared<SendQueue>(MaxQueuedBytes)),
        m_Monitor(SilentAfter, Now), m_Opened(Now), m_NextBeat(Now) {}

  [[nodiscard]] bool isRelaxed() const {
    return m_OwnPace == LinkPace::Relaxed && m_PeerPace == LinkPace::Relaxed;
  }

  /// The largest frame taken from a peer that has not said Hello.
  static constexpr std::size_t MaxGreetingBytes = 4096;

  PeerHandle m_Link;
  io::FileDescriptor m_Socket;
  io::EventLoop::WatchId m_Watch = 0;
  Phase m_Phase;
  FrameBuffer m_Incoming;
  std::shared_ptr<SendQueue> m_Outgoing;
  SilenceMonitor m_Monitor;
  MessageAge m_Age;
  absl::Time m_Opened;
  absl::Time m_NextBeat;
  std::size_t m_HeldBytes = 0;   ///< Of a frame that is not whole yet.
  std::uint64_t m_LastBeat = 0;  ///< Newest sequence that came from the peer.
  std::uint64_t m_BeatCount = 0; ///< Sent on this link.
  LinkPace m_OwnPace = LinkPace::Brisk;
  LinkPace m_PeerPace = LinkPace::Brisk;
  bool m_IsOpener = false;
  bool m_IsWriteBlocked = false;
  model::Endpoint m_To; ///< If m_IsOpener.
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_CONNECTION_H
