#include "soak/LoopProxy.h"

#include "io/Sockets.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace knapweedloft::soak {
namespace {

constexpr absl::Duration DelayFor = absl::Milliseconds(150);

} // namespace

LoopProxy::LoopProxy(io::EventLoop &Loop, const model::Endpoint &At,
                     const model::Endpoint &To)
    : m_Loop(Loop), m_To(To),
      m_Acceptor(Loop, At,
                 [this](io::FileDescriptor Client, const std::string &) {
                   onAccepted(std::move(Client));
                 }) {}

LoopProxy::~LoopProxy() { resetAll(); }

void LoopProxy::onAccepted(io::FileDescriptor Client) {
  io::FileDescriptor Server = io::connectTo(m_To);
  if (!Server.isValid())
    return;
  PairId Id = ++m_LastId;
  auto Next = std::make_unique<Pair>();
  Next->m_Streams[0].m_From = std::move(Client);
  Next->m_Streams[1].m_From = std::move(Server);
  for (int Side : {0, 1})
    Next->m_Streams[Side].m_Watch = m_Loop.watch(
        Next->m_Streams[Side].m_From.get(), EPOLLIN | EPOLLOUT | EPOLLET,
        [this, Id, Side](std::uint32_t Events) { onReady(Id, Side, Events); });
  m_Pairs.emplace(Id, std::move(Next));
}

void LoopProxy::onReady(PairId Id, int Side, std::uint32_t Events) {
  if (Events & EPOLLERR)
    return close(Id, true);
  if (Events & (EPOLLIN | EPOLLHUP))
    readFrom(Id, Side);
  flushLater(Id);
}

void LoopProxy::readFrom(PairId Id, int Side) {
  auto Found = m_Pairs.find(Id);
  if (Found == m_Pairs.end())
    return;
  Stream &In = Found->second->m_Streams[Side];
  std::array<char, 16 << 10> Buffer{};
  while (true) {
    ssize_t Count = ::read(In.m_From.get(), Buffer.data(), Buffer.size());
    if (Count > 0) {
      std::string_view Bytes(Buffer.data(), static_cast<std::size_t>(Count));
      In.m_Bytes.append(Bytes);
      if (Side == 0 && m_OnClientBytes)
        m_OnClientBytes(Bytes);
      continue;
    }
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno != EAGAIN)
      return close(Id, true);
    In.m_HasEnded = In.m_HasEnded || Count == 0;
    return;
  }
}

void LoopProxy::flushLater(PairId Id) {
  if (m_Mode != ProxyMode::Delay)
    return flush(Id);
  m_Loop.post(
      [this, Id, Life = std::weak_ptr(m_IsAlive)] {
        if (!Life.expired())
          flush(Id);
      },
      DelayFor);
}

bool LoopProxy::isHeld(int Side) const {
  return m_Mode == ProxyMode::Silent ||
         (m_Mode == ProxyMode::OneWay && Side == 1);
}

void LoopProxy::flush(PairId Id) {
  auto Found = m_Pairs.find(Id);
  if (Found == m_Pairs.end())
    return;
  Pair &Of = *Found->second;
  for (int Side : {0, 1}) {
    if (isHeld(Side))
      continue;
    Stream &In = Of.m_Streams[Side];
    int To = Of.m_Streams[1 - Side].m_From.get();
    while (!In.m_Bytes.empty()) {
      ssize_t Count =
          ::send(To, In.m_Bytes.data(), In.m_Bytes.size(), MSG_NOSIGNAL);
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0 && (errno == EAGAIN || errno == ENOTCONN))
        break;
      if (Count < 0)
        return close(Id, true);
      In.m_Bytes.erase(0, static_cast<std::size_t>(Count));
    }
    if (In.m_HasEnded && In.m_Bytes.empty() &&
        !std::exchange(In.m_IsClosed, true))
      ::shutdown(To, SHUT_WR);
  }
  if (Of.m_Streams[0].m_IsClosed && Of.m_Streams[1].m_IsClosed)
    close(Id, false);
}

void LoopProxy::close(PairId Id, bool IsReset) {
  auto Found = m_Pairs.find(Id);
  if (Found == m_Pairs.end())
    return;
  std::unique_ptr<Pair> Ended = std::move(Found->second);
  m_Pairs.erase(Found);
  for (Stream &Side : Ended->m_Streams) {
    m_Loop.unwatch(Side.m_Watch);
    linger AtOnce{.l_onoff = 1, .l_linger = 0};
    if (IsReset)
      ::setsockopt(Side.m_From.get(), SOL_SOCKET, SO_LINGER, &AtOnce,
                   sizeof(AtOnce));
  }
}

void LoopProxy::setMode(ProxyMode Next) {
  m_Mode = Next;
  std::vector<PairId> Ids;
  for (const auto &[Id, Held] : m_Pairs)
    Ids.push_back(Id);
  for (PairId Id : Ids)
    flushLater(Id);
}

void LoopProxy::resetAll() {
  while (!m_Pairs.empty())
    close(m_Pairs.begin()->first, true);
}

} // namespace knapweedloft::soak
