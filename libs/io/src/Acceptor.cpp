#include "io/Acceptor.h"

#include "io/Sockets.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <utility>

namespace knapweedloft::io {
namespace {

constexpr int MaxAcceptsARound = 64;
/// More than the kernel queues for a listener.
constexpr int MaxLastRounds = 32;
/// How long the listener rests when the process is out of descriptors.
constexpr absl::Duration AcceptRest = absl::Milliseconds(100);

std::string textOf(const sockaddr_storage &Address) {
  char Text[INET6_ADDRSTRLEN] = "";
  if (Address.ss_family == AF_INET)
    ::inet_ntop(AF_INET,
                &reinterpret_cast<const sockaddr_in &>(Address).sin_addr, Text,
                sizeof(Text));
  else
    ::inet_ntop(AF_INET6,
                &reinterpret_cast<const sockaddr_in6 &>(Address).sin6_addr,
                Text, sizeof(Text));
  return Text;
}

} // namespace

Acceptor::Acceptor(EventLoop &Loop, const model::Endpoint &At, Hook OnSocket)
    : m_Loop(Loop), m_OnSocket(std::move(OnSocket)), m_Listener(listenOn(At)) {
  m_Watch = m_Loop.watch(m_Listener.get(), EPOLLIN,
                         [this](std::uint32_t) { accept(); });
}

Acceptor::~Acceptor() { stop(); }

void Acceptor::stop() {
  if (!m_Listener.isValid())
    return;
  *m_IsListening = false;
  m_Loop.unwatch(m_Watch);
  FileDescriptor Closed = std::move(m_Listener);
}

void Acceptor::takeRestAndStop() {
  std::shared_ptr<bool> IsListening = m_IsListening;
  // A listener that cannot accept for want of descriptors is closed, too.
  for (int Count = 0; Count < MaxLastRounds && *IsListening && hasInput();
       ++Count)
    accept();
  if (*IsListening)
    stop();
}

bool Acceptor::hasInput() const {
  pollfd Poll{.fd = m_Listener.get(), .events = POLLIN, .revents = 0};
  return ::poll(&Poll, 1, 0) == 1;
}

model::Endpoint Acceptor::endpoint() const {
  return localEndpoint(m_Listener.get());
}

void Acceptor::accept() {
  // A hook may stop it, or end what it belongs to.
  std::shared_ptr<bool> IsListening = m_IsListening;
  for (int Count = 0; Count < MaxAcceptsARound && *IsListening; ++Count) {
    sockaddr_storage From{};
    socklen_t Size = sizeof(From);
    FileDescriptor Socket(::accept4(m_Listener.get(),
                                    reinterpret_cast<sockaddr *>(&From), &Size,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!Socket.isValid() && (errno == EMFILE || errno == ENFILE))
      return rest();
    if (!Socket.isValid())
      return;
    setNoDelay(Socket.get());
    m_OnSocket(std::move(Socket), textOf(From));
  }
}

void Acceptor::rest() {
  m_Loop.rewatch(m_Watch, 0);
  m_Loop.post(
      [this, IsListening = m_IsListening] {
        if (*IsListening)
          m_Loop.rewatch(m_Watch, EPOLLIN);
      },
      AcceptRest);
}

} // namespace knapweedloft::io
