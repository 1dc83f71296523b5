#include "ServerImpl.h"

#include "SteadyNow.h"
#include "http/HttpError.h"

#include "fmt/format.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace knapweedloft::http {
namespace {

/// Room beside the header: a read buffer for the body and parsed fields.
constexpr std::size_t ConnectionMemoryBytes = 8192;
constexpr unsigned ListenBacklog = 1024;
/// A whole request or answer may take this many idle timeouts.
constexpr int TransferIdleTimeouts = 2;

struct SocketAddress {
  sockaddr_storage m_Storage{};
  bool m_IsV6 = false;
};

SocketAddress parseAddress(const std::string &Address, std::uint16_t Port) {
  SocketAddress Result;
  auto *V4 = reinterpret_cast<sockaddr_in *>(&Result.m_Storage);
  if (inet_pton(AF_INET, Address.c_str(), &V4->sin_addr) == 1) {
    V4->sin_family = AF_INET;
    V4->sin_port = htons(Port);
    return Result;
  }
  auto *V6 = reinterpret_cast<sockaddr_in6 *>(&Result.m_Storage);
  if (inet_pton(AF_INET6, Address.c_str(), &V6->sin6_addr) != 1)
    throw HttpError(fmt::format("{} is not an IP address", Address));
  V6->sin6_family = AF_INET6;
  V6->sin6_port = htons(Port);
  Result.m_IsV6 = true;
  return Result;
}

bool isLoopback(const sockaddr *Address) {
  if (Address->sa_family == AF_INET) {
    const auto *V4 = reinterpret_cast<const sockaddr_in *>(Address);
    return (ntohl(V4->sin_addr.s_addr) >> 24) == 127;
  }
  const auto *V6 = reinterpret_cast<const sockaddr_in6 *>(Address);
  return IN6_IS_ADDR_LOOPBACK(&V6->sin6_addr);
}

} // namespace

HttpServer::Impl::Impl(Options Settings)
    : m_Settings(std::move(Settings)),
      m_Watcher({.m_Idle = m_Settings.m_IdleTimeout,
                 .m_Transfer = TransferIdleTimeouts * m_Settings.m_IdleTimeout},
                m_Settings.m_ThreadName) {
  start();
}

void HttpServer::Impl::start() {
  SocketAddress Address = parseAddress(m_Settings.m_Address, m_Settings.m_Port);
  unsigned Flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  if (Address.m_IsV6)
    Flags |= MHD_USE_IPv6;
  m_Daemon = MHD_start_daemon(
      Flags, m_Settings.m_Port, nullptr, nullptr, &Impl::onRequest, this,
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&Address.m_Storage),
      MHD_OPTION_THREAD_POOL_SIZE, std::max(1U, m_Settings.m_Threads),
      MHD_OPTION_CONNECTION_LIMIT, m_Settings.m_MaxConnections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      2 * m_Settings.m_MaxHeaderBytes + ConnectionMemoryBytes,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, ListenBacklog,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
      &Impl::onRequestLine, this, MHD_OPTION_NOTIFY_COMPLETED,
      &Impl::onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
      &Impl::onConnection, this, MHD_OPTION_END);
  if (m_Daemon == nullptr)
    throw HttpError(fmt::format("cannot listen on {} port {}: {}",
                                m_Settings.m_Address, m_Settings.m_Port,
                                std::strerror(errno)));
  m_Port = MHD_get_daemon_info(m_Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

HttpServer::Impl::~Impl() {
  m_IsStopping = true;
  m_Watcher.hangUpAll();
  MHD_stop_daemon(m_Daemon);
}

void HttpServer::Impl::takeBacklog(int Listener) {
  // Closing the listener would reset callers that have connected and may have
  // sent, but were not accepted yet.
  while (true) {
    sockaddr_storage Peer{};
    socklen_t Size = sizeof(Peer);
    int Socket = accept4(Listener, reinterpret_cast<sockaddr *>(&Peer), &Size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    MHD_add_connection(m_Daemon, Socket, reinterpret_cast<sockaddr *>(&Peer),
                       Size);
  }
}

void HttpServer::Impl::quiesce() {
  if (m_IsQuiesced.exchange(true))
    return;
  MHD_socket Listener = MHD_quiesce_daemon(m_Daemon);
  if (Listener == MHD_INVALID_SOCKET)
    return;
  takeBacklog(Listener);
  close(Listener);
}

void HttpServer::Impl::onConnection(void *Self, MHD_Connection *Connection,
                                    void **Context,
                                    MHD_ConnectionNotificationCode Code) {
  auto &Server = *static_cast<Impl *>(Self);
  if (Code == MHD_CONNECTION_NOTIFY_CLOSED) {
    std::unique_ptr<ServerConnection> Closed(
        static_cast<ServerConnection *>(*Context));
    Server.m_Watcher.remove(Closed->m_Id);
    *Context = nullptr;
    return;
  }
  int Socket =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  const sockaddr *Peer =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
          ->client_addr;
  *Context =
      new ServerConnection{.m_Id = Server.m_Watcher.add(Socket, steadyNow()),
                           .m_IsFromLoopback = isLoopback(Peer)};
}

} // namespace knapweedloft::http
