#include "io/Sockets.h"

#include "io/IoError.h"

#include "fmt/format.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace knapweedloft::io {
namespace {

constexpr int ListenBacklog = 1024;

struct SocketAddress {
  sockaddr_storage m_Storage{};
  socklen_t m_Size = 0;

  [[nodiscard]] const sockaddr *get() const {
    return reinterpret_cast<const sockaddr *>(&m_Storage);
  }
};

std::optional<SocketAddress> parse(const model::Endpoint &At) {
  SocketAddress Address;
  auto *V4 = reinterpret_cast<sockaddr_in *>(&Address.m_Storage);
  if (::inet_pton(AF_INET, At.m_Address.c_str(), &V4->sin_addr) == 1) {
    V4->sin_family = AF_INET;
    V4->sin_port = htons(At.m_Port);
    Address.m_Size = sizeof(sockaddr_in);
    return Address;
  }
  auto *V6 = reinterpret_cast<sockaddr_in6 *>(&Address.m_Storage);
  if (::inet_pton(AF_INET6, At.m_Address.c_str(), &V6->sin6_addr) == 1) {
    V6->sin6_family = AF_INET6;
    V6->sin6_port = htons(At.m_Port);
    Address.m_Size = sizeof(sockaddr_in6);
    return Address;
  }
  return std::nullopt;
}

FileDescriptor newSocket(const SocketAddress &Address) {
  return FileDescriptor(::socket(Address.m_Storage.ss_family,
                                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                                 0));
}

} // namespace

FileDescriptor listenOn(const model::Endpoint &At) {
  auto Address = parse(At);
  if (!Address)
    throw IoError(fmt::format("not an IP number: {}", At.m_Address));
  FileDescriptor Socket = newSocket(*Address);
  int One = 1;
  ::setsockopt(Socket.get(), SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  if (::bind(Socket.get(), Address->get(), Address->m_Size) != 0 ||
      ::listen(Socket.get(), ListenBacklog) != 0)
    throw IoError(fmt::format("cannot listen on {}:{}: {}", At.m_Address,
                              At.m_Port, std::strerror(errno)));
  return Socket;
}

FileDescriptor connectTo(const model::Endpoint &To) {
  auto Address = parse(To);
  if (!Address)
    return {};
  FileDescriptor Socket = newSocket(*Address);
  if (!Socket.isValid())
    return {};
  setNoDelay(Socket.get());
  int Result = ::connect(Socket.get(), Address->get(), Address->m_Size);
  if (Result != 0 && errno != EINPROGRESS)
    return {};
  return Socket;
}

model::Endpoint localEndpoint(int Socket) {
  sockaddr_storage Storage{};
  socklen_t Size = sizeof(Storage);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Storage), &Size);
  char Text[INET6_ADDRSTRLEN] = "";
  if (Storage.ss_family == AF_INET6) {
    const auto *V6 = reinterpret_cast<const sockaddr_in6 *>(&Storage);
    ::inet_ntop(AF_INET6, &V6->sin6_addr, Text, sizeof(Text));
    return {Text, ntohs(V6->sin6_port)};
  }
  const auto *V4 = reinterpret_cast<const sockaddr_in *>(&Storage);
  ::inet_ntop(AF_INET, &V4->sin_addr, Text, sizeof(Text));
  return {Text, ntohs(V4->sin_port)};
}

int pendingError(int Socket) {
  int Error = 0;
  socklen_t Size = sizeof(Error);
  ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
  return Error;
}

std::optional<ssize_t> receive(int Socket, void *To, std::size_t Room) {
  ssize_t Bytes = ::recv(Socket, To, Room, MSG_DONTWAIT);
  if (Bytes < 0 && (errno == EAGAIN || errno == EINTR))
    return std::nullopt;
  return Bytes;
}

absl::Duration sinceLastInput(int Socket) {
  tcp_info Known{};
  socklen_t Size = sizeof(Known);
  if (::getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Known, &Size) != 0)
    return absl::ZeroDuration();
  return absl::Milliseconds(Known.tcpi_last_data_recv);
}

bool isEndedByPeer(int Socket) {
  pollfd Poll{.fd = Socket, .events = POLLRDHUP, .revents = 0};
  return ::poll(&Poll, 1, 0) == 1;
}

void endWriting(int Socket) { ::shutdown(Socket, SHUT_WR); }

void setNoDelay(int Socket) {
  int One = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
}

} // namespace knapweedloft::io
