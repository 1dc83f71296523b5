#ifndef KNAPWEEDLOFT_HTTP_CLIENTSOCKETS_H
#define KNAPWEEDLOFT_HTTP_CLIENTSOCKETS_H

#include <curl/curl.h>

#include <cstdint>
#include <vector>

namespace knapweedloft::http {

/// The sockets that libcurl has open for a client, found by their local port.
///
/// libcurl reuses a kept connection without a look at what waits there, and
/// takes it for the answer to the next request. Not thread-safe.
class ClientSockets {
public:
  /// Lets \p Handle open and close its sockets here. The object has to outlive
  /// all of them.
  void attach(CURL *Handle);

  /// \returns whether bytes that nobody has asked for wait at the socket with
  /// the local port \p LocalPort.
  [[nodiscard]] bool hasUnreadInput(std::uint16_t LocalPort);

private:
  struct Entry {
    curl_socket_t m_Socket = CURL_SOCKET_BAD;
    std::uint16_t m_LocalPort = 0; ///< 0: not connected yet.
  };

  static curl_socket_t onOpen(void *Self, curlsocktype, curl_sockaddr *To);
  static int onClose(void *Self, curl_socket_t Socket);

  std::vector<Entry> m_Open;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_CLIENTSOCKETS_H
