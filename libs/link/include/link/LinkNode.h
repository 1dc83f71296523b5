#ifndef KNAPWEEDLOFT_LINK_LINKNODE_H
#define KNAPWEEDLOFT_LINK_LINKNODE_H

#include "io/EventLoop.h"
#include "link/LinkPace.h"
#include "link/LinkTraffic.h"
#include "link/generated/link_generated.h"
#include "model/Endpoint.h"
#include "model/Handle.h"
#include "model/Member.h"
#include "model/NameTable.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::link {

struct PeerTag;
/// One established link. A handle is never used for a second link.
using PeerHandle = model::Handle<PeerTag>;

/// Why a link ended.
enum class LinkEnd : std::uint8_t { Closed, Silent, Malformed, Refused, Local };

inline constexpr model::NameTable<LinkEnd, 5> LinkEndNames{
    {"closed", "silent", "malformed", "refused", "local"}};

/// All links of a daemon: accepted and opened TCP connections that carry
/// length-prefixed FlatBuffers, many messages under way on each.
///
/// A link is up once both Hellos are exchanged. Heartbeats go out on every
/// link; one that brings nothing for m_SilentAfter is closed as Silent. The
/// hooks run on the node's own thread and must not block.
///
/// \code
///   LinkNode Node({.m_Self = Self, .m_Hooks = {.m_OnMessage = handle}});
///   Node.connect(PeerEndpoint);
///   Node.send(Peer, std::move(Forward)); // a wire::ForwardT
/// \endcode
class LinkNode {
public:
  struct Hooks {
    /// The link is up. \p Peer says who is at the other end.
    std::function<void(PeerHandle Link, const model::Member &Peer)> m_OnUp;
    std::function<void(PeerHandle Link, wire::MessageUnion &Message)>
        m_OnMessage;
    /// Called once for each link that was up.
    std::function<void(PeerHandle Link, LinkEnd Reason)> m_OnDown;
    /// A connect() that never came up.
    std::function<void(const model::Endpoint &To, LinkEnd Reason)>
        m_OnConnectFailed;
    /// Fills in the heartbeat that is about to be sent.
    std::function<void(wire::HeartbeatT &Beat)> m_FillHeartbeat;
  };

  struct Options {
    model::Member m_Self; ///< m_Link.m_Port 0: the kernel chooses.
    absl::Duration m_HeartbeatInterval = absl::Milliseconds(500);
    absl::Duration m_SilentAfter = absl::Milliseconds(1500);
    absl::Duration m_ConnectTimeout = absl::Seconds(1);
    std::size_t m_MaxFrameBytes = 4 << 20;
    std::size_t m_MaxQueuedBytes = 16 << 20; ///< A link; past it send() fails.
    std::size_t m_MaxLinks = 4096;
    /// Of all frames that are not whole yet. Past it the link with the largest
    /// one is closed as Malformed.
    std::size_t m_MaxHeldBytes = 256 << 20;
    /// The loop that the node runs on; null: one on a thread of its own. A
    /// node on a shared loop belongs to the thread of that loop.
    io::EventLoop *m_Loop = nullptr;
    Hooks m_Hooks;
  };

  /// Binds and listens; hooks may run before it returns.
  /// \throws LinkError if the address cannot be bound.
  explicit LinkNode(Options Settings);
  ~LinkNode();

  /// Ends the node's thread: no hook or task runs after it returns, and what
  /// is posted or sent from then on is dropped. Not to be called by a hook.
  void stop();

  /// \returns where this node accepts links.
  [[nodiscard]] const model::Endpoint &endpoint() const;

  /// Opens a link in the background; m_OnUp or m_OnConnectFailed follows.
  void connect(const model::Endpoint &To);

  /// Queues \p Message, any of the wire::...T types of the union, on \p Link.
  /// Callable from any thread.
  /// \returns false if the link is down or its queue is full.
  template <typename MessageT> bool send(PeerHandle Link, MessageT Message) {
    wire::EnvelopeT Envelope;
    Envelope.message.Set(std::move(Message));
    return sendEnvelope(Link, Envelope);
  }

  bool send(PeerHandle Link, wire::MessageUnion Message) {
    wire::EnvelopeT Envelope;
    Envelope.message = std::move(Message);
    return sendEnvelope(Link, Envelope);
  }

  /// Sets how often heartbeats go over \p Link; brisk unless set. A relaxed
  /// link counts as silent after twice m_SilentAfter.
  void setPace(PeerHandle Link, LinkPace Pace);

  /// \returns how long the message that m_OnMessage hands over has at least
  /// been on its way, by the clocks that heartbeats tell; zero if that is
  /// unknown, infinite if it is delayed and the peer has ended the link
  /// meanwhile. On the node's thread.
  [[nodiscard]] absl::Duration ageOfMessage(PeerHandle Link) const;

  /// \returns the bytes that wait to be written on all links. On the node's
  /// thread.
  [[nodiscard]] std::size_t unsentBytes() const;

  /// Closes \p Link; its m_OnDown runs with LinkEnd::Local.
  void close(PeerHandle Link);

  /// \returns what was sent and received so far on all links.
  [[nodiscard]] LinkTraffic traffic() const;

  /// Runs \p Task on the node's thread, after \p Delay.
  void post(std::function<void()> Task,
            absl::Duration Delay = absl::ZeroDuration());

private:
  bool sendEnvelope(PeerHandle Link, const wire::EnvelopeT &Envelope);

  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_LINKNODE_H
