#ifndef KNAPWEEDLOFT_LINK_LINKNODEIMPL_H
#define KNAPWEEDLOFT_LINK_LINKNODEIMPL_H

#include "Connection.h"
#include "LinkTable.h"
#include "TrafficCounter.h"
#include "io/Acceptor.h"
#include "io/EventLoop.h"
#include "link/LinkNode.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <string>

namespace knapweedloft::link {

/// The connections of a LinkNode and what happens to them. Everything but
/// send() runs on the loop's thread.
class LinkNode::Impl {
public:
  explicit Impl(Options Settings);
  ~Impl();

  [[nodiscard]] const model::Endpoint &endpoint() const {
    return m_Settings.m_Self.m_Link;
  }
  io::EventLoop &loop() { return m_Loop; }
  /// Ends all links. On the thread of a shared loop, from any thread else.
  void stop();

  /// From any thread.
  bool send(PeerHandle Link, const wire::EnvelopeT &Envelope);

  void open(const model::Endpoint &To);
  void close(PeerHandle Link) { end(Link, LinkEnd::Local); }

  void setPace(PeerHandle Link, LinkPace Pace);

  [[nodiscard]] LinkTraffic traffic() const { return m_Traffic.read(); }
  [[nodiscard]] absl::Duration ageOfMessage(PeerHandle Link) const;
  [[nodiscard]] std::size_t unsentBytes() const;

private:
  void onReady(PeerHandle Link, std::uint32_t Events);
  void listen();
  void onAccepted(io::FileDescriptor Socket);
  Connection *add(io::FileDescriptor Socket, Connection::Phase Start);
  void failOpen(const model::Endpoint &To, LinkEnd Reason);

  void onConnected(Connection &Peer);
  void read(PeerHandle Link);
  void countHeld(Connection &Peer);
  void limitHeld();
  void onFrame(Connection &Peer, std::span<const std::uint8_t> Frame);
  void onHello(Connection &Peer, const wire::HelloT &Hello);
  void onMessage(Connection &Peer, wire::MessageUnion &Message);
  void flush(PeerHandle Link);
  void watchWrites(Connection &Peer, bool IsBlocked);
  template <typename MessageT> void queue(Connection &Peer, MessageT Message);

  void endUnlessUp(PeerHandle Link);
  void tick(PeerHandle Link);
  void beat(Connection &Peer, absl::Time Now);
  void applyPace(Connection &Peer);
  void end(PeerHandle Link, LinkEnd Reason);

  [[nodiscard]] Connection *find(PeerHandle Link);

  Options m_Settings;
  std::unique_ptr<io::EventLoop> m_OwnLoop; ///< Null: the loop is shared.
  io::EventLoop &m_Loop;
  std::unique_ptr<io::Acceptor> m_Acceptor;
  LinkTable m_Table;
  TrafficCounter m_Traffic;
  absl::flat_hash_map<PeerHandle, std::unique_ptr<Connection>> m_Connections;
  std::uint32_t m_NextIndex = 0;
  std::size_t m_HeldBytes = 0; ///< Over all connections.
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_LINKNODEIMPL_H
