#include "ClientSockets.h"

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace knapweedloft::http {
namespace {

/// \returns the local port of a connected socket; 0 if it has none.
std::uint16_t localPortOf(curl_socket_t Socket) {
  sockaddr_storage Address{};
  socklen_t Size = sizeof Address;
  if (::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    return 0;
  if (Address.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<sockaddr_in6 &>(Address).sin6_port);
  return ntohs(reinterpret_cast<sockaddr_in &>(Address).sin_port);
}

} // namespace

void ClientSockets::attach(CURL *Handle) {
  curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &ClientSockets::onOpen);
  curl_easy_setopt(Handle, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION,
                   &ClientSockets::onClose);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, this);
}

curl_socket_t ClientSockets::onOpen(void *Self, curlsocktype,
                                    curl_sockaddr *To) {
  curl_socket_t Socket = ::socket(To->family, To->socktype, To->protocol);
  if (Socket != CURL_SOCKET_BAD)
    static_cast<ClientSockets *>(Self)->m_Open.push_back({.m_Socket = Socket});
  return Socket;
}

int ClientSockets::onClose(void *Self, curl_socket_t Socket) {
  std::erase_if(static_cast<ClientSockets *>(Self)->m_Open,
                [Socket](const Entry &One) { return One.m_Socket == Socket; });
  return ::close(Socket);
}

bool ClientSockets::hasUnreadInput(std::uint16_t LocalPort) {
  for (Entry &One : m_Open)
    if (One.m_LocalPort == 0)
      One.m_LocalPort = localPortOf(One.m_Socket);
  auto Found =
      std::find_if(m_Open.begin(), m_Open.end(), [LocalPort](const Entry &One) {
        return One.m_LocalPort == LocalPort;
      });
  char Byte = 0;
  return Found != m_Open.end() &&
         ::recv(Found->m_Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace knapweedloft::http
