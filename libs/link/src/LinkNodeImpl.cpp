#include "LinkNodeImpl.h"

#include "EnvelopeCodec.h"
#include "Greeting.h"
#include "io/IoError.h"
#include "io/MonotonicClock.h"
#include "io/Sockets.h"
#include "link/LinkError.h"

#include <algorithm>
#include <sys/epoll.h>
#include <utility>

namespace knapweedloft::link {
namespace {

/// Heartbeats of a relaxed link come this much later.
constexpr int RelaxedFactor = 2;
/// Of a relaxed link's heartbeats, every so many carry more than the bare need.
constexpr int BeatsAFullOne = 4;
/// Frames of one link are handled for this long at most in a round.
constexpr int MaxReadsARound = 4;

} // namespace

LinkNode::Impl::Impl(Options Settings)
    : m_Settings(std::move(Settings)),
      m_OwnLoop(m_Settings.m_Loop ? nullptr
                                  : std::make_unique<io::EventLoop>()),
      m_Loop(m_OwnLoop ? *m_OwnLoop : *m_Settings.m_Loop) {
  listen();
  if (m_OwnLoop)
    m_OwnLoop->start("link");
}

LinkNode::Impl::~Impl() { stop(); }

void LinkNode::Impl::stop() {
  if (m_OwnLoop)
    return m_OwnLoop->stop();
  m_Settings.m_Hooks = {};
  m_Acceptor->stop();
  while (!m_Connections.empty())
    end(m_Connections.begin()->first, LinkEnd::Local);
}

bool LinkNode::Impl::send(PeerHandle Link, const wire::EnvelopeT &Envelope) {
  auto Queue = m_Table.find(Link);
  if (!Queue)
    return false;
  std::string Frame = encodeFrame(Envelope);
  if (Frame.size() > m_Settings.m_MaxFrameBytes + FrameBuffer::PrefixBytes)
    return false;
  m_Traffic.countSent(Frame.size());
  SendQueue::Push Result = Queue->push(std::move(Frame));
  if (Result == SendQueue::Push::FlushDue)
    m_Loop.post([this, Link] { flush(Link); });
  return Result != SendQueue::Push::Refused;
}

void LinkNode::Impl::open(const model::Endpoint &To) {
  if (m_Connections.size() >= m_Settings.m_MaxLinks)
    return failOpen(To, LinkEnd::Refused);
  io::FileDescriptor Socket = io::connectTo(To);
  if (!Socket.isValid())
    return failOpen(To, LinkEnd::Refused);
  Connection *Peer = add(std::move(Socket), Connection::Phase::Connecting);
  if (!Peer)
    return failOpen(To, LinkEnd::Local);
  Peer->m_IsOpener = true;
  Peer->m_To = To;
  Peer->m_IsWriteBlocked = true;
  m_Loop.rewatch(Peer->m_Watch, EPOLLIN | EPOLLOUT);
}

void LinkNode::Impl::failOpen(const model::Endpoint &To, LinkEnd Reason) {
  if (m_Settings.m_Hooks.m_OnConnectFailed)
    m_Settings.m_Hooks.m_OnConnectFailed(To, Reason);
}

void LinkNode::Impl::onReady(PeerHandle Link, std::uint32_t Events) {
  Connection *Peer = find(Link);
  if (!Peer)
    return;
  if (Peer->m_Phase == Connection::Phase::Connecting)
    return onConnected(*Peer);
  if (Events & EPOLLOUT)
    flush(Link);
  if (Events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    read(Link);
}

void LinkNode::Impl::listen() {
  model::Endpoint &Own = m_Settings.m_Self.m_Link;
  try {
    m_Acceptor = std::make_unique<io::Acceptor>(
        m_Loop, Own, [this](io::FileDescriptor Socket, const std::string &) {
          onAccepted(std::move(Socket));
        });
  } catch (const io::IoError &Error) {
    throw LinkError(Error.what());
  }
  Own.m_Port = m_Acceptor->endpoint().m_Port;
}

void LinkNode::Impl::onAccepted(io::FileDescriptor Socket) {
  if (m_Connections.size() >= m_Settings.m_MaxLinks)
    return;
  Connection *Peer = add(std::move(Socket), Connection::Phase::Greeting);
  if (Peer)
    queue(*Peer, helloOf(m_Settings.m_Self, io::monotonicNow()));
}

Connection *LinkNode::Impl::add(io::FileDescriptor Socket,
                                Connection::Phase Start) {
  if (m_NextIndex == PeerHandle::Invalid)
    return nullptr;
  PeerHandle Link{m_NextIndex++};
  auto Peer = std::make_unique<Connection>(
      Link, std::move(Socket), Start, m_Settings.m_MaxQueuedBytes,
      m_Settings.m_SilentAfter, io::monotonicNow());
  Connection *Added = Peer.get();
  Added->m_Watch = m_Loop.watch(
      Added->m_Socket.get(), EPOLLIN,
      [this, Link](std::uint32_t Events) { onReady(Link, Events); });
  m_Connections[Link] = std::move(Peer);
  m_Loop.post([this, Link] { endUnlessUp(Link); }, m_Settings.m_ConnectTimeout);
  return Added;
}

void LinkNode::Impl::onConnected(Connection &Peer) {
  if (io::pendingError(Peer.m_Socket.get()) != 0)
    return end(Peer.m_Link, LinkEnd::Refused);
  Peer.m_Phase = Connection::Phase::Greeting;
  watchWrites(Peer, false);
  queue(Peer, helloOf(m_Settings.m_Self, io::monotonicNow()));
}

void LinkNode::Impl::read(PeerHandle Link) {
  for (int Count = 0; Count < MaxReadsARound; ++Count) {
    Connection *Peer = find(Link);
    if (!Peer)
      return;
    auto Room = Peer->m_Incoming.room();
    auto Bytes = io::receive(Peer->m_Socket.get(), Room.data(), Room.size());
    if (!Bytes)
      return;
    if (*Bytes <= 0)
      return end(Link, LinkEnd::Closed);
    Peer->m_Incoming.commit(static_cast<std::size_t>(*Bytes));
    Peer->m_Monitor.onReceived(io::monotonicNow());
    std::span<const std::uint8_t> Frame;
    auto Result = FrameBuffer::Result::Frame;
    while ((Peer = find(Link)) != nullptr &&
           (Result = Peer->m_Incoming.next(Frame)) ==
               FrameBuffer::Result::Frame)
      onFrame(*Peer, Frame);
    if (Result == FrameBuffer::Result::Oversize)
      return end(Link, LinkEnd::Malformed);
    if (Peer)
      countHeld(*Peer);
    limitHeld();
    if (static_cast<std::size_t>(*Bytes) < Room.size())
      return;
  }
}

void LinkNode::Impl::countHeld(Connection &Peer) {
  std::size_t Bytes = Peer.m_Incoming.heldBytes();
  m_HeldBytes = m_HeldBytes - Peer.m_HeldBytes + Bytes;
  Peer.m_HeldBytes = Bytes;
}

void LinkNode::Impl::limitHeld() {
  while (m_HeldBytes > m_Settings.m_MaxHeldBytes) {
    auto Largest = std::max_element(m_Connections.begin(), m_Connections.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second->m_HeldBytes <
                                             Right.second->m_HeldBytes;
                                    });
    end(Largest->first, LinkEnd::Malformed);
  }
}

absl::Duration LinkNode::Impl::ageOfMessage(PeerHandle Link) const {
  auto Found = m_Connections.find(Link);
  if (Found == m_Connections.end())
    return absl::ZeroDuration();
  const Connection &Peer = *Found->second;
  absl::Duration Interval =
      m_Settings.m_HeartbeatInterval *
      (Peer.isRelaxed() ? RelaxedFactor * BeatsAFullOne : 1);
  absl::Duration HeldUp = m_Loop.heldUp();
  bool IsDelayed = std::max(HeldUp, Peer.m_Age.lastDelay()) >= Interval;
  if (IsDelayed && io::isEndedByPeer(Peer.m_Socket.get()))
    return absl::InfiniteDuration();
  return Peer.m_Age.leastAge(io::monotonicNow(), HeldUp, Interval);
}

std::size_t LinkNode::Impl::unsentBytes() const {
  std::size_t Sum = 0;
  for (const auto &[Link, Peer] : m_Connections)
    Sum += Peer->m_Outgoing->bytes();
  return Sum;
}

void LinkNode::Impl::onFrame(Connection &Peer,
                             std::span<const std::uint8_t> Frame) {
  m_Traffic.countReceived(Frame.size() + FrameBuffer::PrefixBytes);
  auto Envelope = decodeFrame(Frame);
  if (!Envelope)
    return end(Peer.m_Link, LinkEnd::Malformed);
  const wire::HelloT *Hello = Envelope->message.AsHello();
  bool IsGreeting = Peer.m_Phase == Connection::Phase::Greeting;
  if (IsGreeting != (Hello != nullptr))
    return end(Peer.m_Link, LinkEnd::Malformed);
  if (Hello)
    return onHello(Peer, *Hello);
  onMessage(Peer, Envelope->message);
}

void LinkNode::Impl::onHello(Connection &Peer, const wire::HelloT &Hello) {
  if (Hello.protocol != ProtocolNumber || Hello.incarnation == 0 ||
      Hello.incarnation == m_Settings.m_Self.m_Incarnation)
    return end(Peer.m_Link, LinkEnd::Refused);
  Peer.m_Phase = Connection::Phase::Up;
  Peer.m_Incoming.setMaxFrameBytes(m_Settings.m_MaxFrameBytes);
  m_Table.insert(Peer.m_Link, Peer.m_Outgoing);
  PeerHandle Link = Peer.m_Link;
  // The first heartbeat tells this end's clock and so goes out before anything
  // that the hook sends.
  tick(Link);
  if (m_Settings.m_Hooks.m_OnUp)
    m_Settings.m_Hooks.m_OnUp(Link, memberOf(Hello));
}

void LinkNode::Impl::onMessage(Connection &Peer, wire::MessageUnion &Message) {
  if (const wire::KeepaliveT *Beat = Message.AsKeepalive()) {
    Peer.m_Monitor.onAcknowledged(Beat->acknowledged);
    Peer.m_LastBeat = Beat->sequence;
    return;
  }
  if (const wire::HeartbeatT *Beat = Message.AsHeartbeat()) {
    Peer.m_Monitor.onAcknowledged(Beat->acknowledged);
    Peer.m_LastBeat = Beat->sequence;
    Peer.m_Age.onHeartbeat(
        absl::FromUnixMicros(static_cast<std::int64_t>(Beat->now_us)),
        io::monotonicNow());
    Peer.m_PeerPace = Beat->is_relaxed ? LinkPace::Relaxed : LinkPace::Brisk;
    applyPace(Peer);
  }
  if (m_Settings.m_Hooks.m_OnMessage)
    m_Settings.m_Hooks.m_OnMessage(Peer.m_Link, Message);
}

template <typename MessageT>
void LinkNode::Impl::queue(Connection &Peer, MessageT Message) {
  wire::EnvelopeT Envelope;
  Envelope.message.Set(std::move(Message));
  PeerHandle Link = Peer.m_Link;
  std::string Frame = encodeFrame(Envelope);
  m_Traffic.countSent(Frame.size());
  auto Result = Peer.m_Outgoing->push(std::move(Frame));
  if (Result == SendQueue::Push::FlushDue)
    m_Loop.post([this, Link] { flush(Link); });
}

void LinkNode::Impl::flush(PeerHandle Link) {
  Connection *Peer = find(Link);
  if (!Peer || Peer->m_Phase == Connection::Phase::Connecting)
    return;
  switch (Peer->m_Outgoing->flush(Peer->m_Socket.get())) {
  case SendQueue::Flush::Empty:
    return watchWrites(*Peer, false);
  case SendQueue::Flush::Blocked:
    return watchWrites(*Peer, true);
  case SendQueue::Flush::Broken:
    return end(Link, LinkEnd::Closed);
  }
}

void LinkNode::Impl::watchWrites(Connection &Peer, bool IsBlocked) {
  if (Peer.m_IsWriteBlocked == IsBlocked)
    return;
  Peer.m_IsWriteBlocked = IsBlocked;
  std::uint32_t Events = EPOLLIN;
  if (IsBlocked)
    Events |= EPOLLOUT;
  m_Loop.rewatch(Peer.m_Watch, Events);
}

void LinkNode::Impl::endUnlessUp(PeerHandle Link) {
  Connection *Peer = find(Link);
  if (Peer && Peer->m_Phase != Connection::Phase::Up)
    end(Link, LinkEnd::Silent);
}

void LinkNode::Impl::tick(PeerHandle Link) {
  Connection *Peer = find(Link);
  if (!Peer)
    return;
  absl::Time Now = io::monotonicNow();
  if (Peer->m_Monitor.deadline() <= Now) {
    // After a pause of this process the peer's bytes may wait unread.
    read(Link);
    Peer = find(Link);
  }
  if (!Peer)
    return;
  if (Peer->m_Monitor.deadline() <= Now)
    return end(Link, LinkEnd::Silent);
  if (Peer->m_NextBeat <= Now)
    beat(*Peer, Now);
  absl::Time Next = std::min(Peer->m_NextBeat, Peer->m_Monitor.deadline());
  m_Loop.post([this, Link] { tick(Link); },
              std::max(Next - Now, absl::Milliseconds(1)));
}

void LinkNode::Impl::setPace(PeerHandle Link, LinkPace Pace) {
  Connection *Peer = find(Link);
  if (!Peer || Peer->m_OwnPace == Pace)
    return;
  Peer->m_OwnPace = Pace;
  applyPace(*Peer);
}

void LinkNode::Impl::applyPace(Connection &Peer) {
  // The limit is raised as soon as this end is content with less, since the
  // other end may slow down before it is known here.
  bool IsContent = Peer.m_OwnPace == LinkPace::Relaxed;
  Peer.m_Monitor.setLimit(m_Settings.m_SilentAfter *
                          (IsContent ? RelaxedFactor : 1));
  if (!Peer.isRelaxed())
    Peer.m_NextBeat = std::min(
        Peer.m_NextBeat, io::monotonicNow() + m_Settings.m_HeartbeatInterval);
}

void LinkNode::Impl::beat(Connection &Peer, absl::Time Now) {
  bool IsRelaxed = Peer.isRelaxed();
  Peer.m_NextBeat =
      Now + m_Settings.m_HeartbeatInterval * (IsRelaxed ? RelaxedFactor : 1);
  std::uint64_t Sequence = Peer.m_Monitor.onHeartbeat(Now);
  if (IsRelaxed && Peer.m_BeatCount++ % BeatsAFullOne != 0) {
    wire::KeepaliveT Beat;
    Beat.sequence = Sequence;
    Beat.acknowledged = Peer.m_LastBeat;
    return queue(Peer, Beat);
  }
  wire::HeartbeatT Beat;
  if (m_Settings.m_Hooks.m_FillHeartbeat)
    m_Settings.m_Hooks.m_FillHeartbeat(Beat);
  Beat.sequence = Sequence;
  Beat.acknowledged = Peer.m_LastBeat;
  Beat.is_relaxed = Peer.m_OwnPace == LinkPace::Relaxed;
  Beat.now_us = static_cast<std::uint64_t>(absl::ToUnixMicros(Now));
  queue(Peer, Beat);
}

void LinkNode::Impl::end(PeerHandle Link, LinkEnd Reason) {
  auto Found = m_Connections.find(Link);
  if (Found == m_Connections.end())
    return;
  std::unique_ptr<Connection> Peer = std::move(Found->second);
  m_Connections.erase(Found);
  m_HeldBytes -= Peer->m_HeldBytes;
  m_Loop.unwatch(Peer->m_Watch);
  m_Table.erase(Link);
  Peer->m_Outgoing->close();
  if (Peer->m_Phase == Connection::Phase::Up) {
    if (m_Settings.m_Hooks.m_OnDown)
      m_Settings.m_Hooks.m_OnDown(Link, Reason);
    return;
  }
  if (Peer->m_IsOpener)
    failOpen(Peer->m_To, Reason);
}

Connection *LinkNode::Impl::find(PeerHandle Link) {
  auto Found = m_Connections.find(Link);
  return Found == m_Connections.end() ? nullptr : Found->second.get();
}

} // namespace knapweedloft::link
