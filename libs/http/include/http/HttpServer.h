#ifndef KNAPWEEDLOFT_HTTP_HTTPSERVER_H
#define KNAPWEEDLOFT_HTTP_HTTPSERVER_H

#include "http/HttpExchange.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::http {

/// Serves HTTP/1.1 by libmicrohttpd. No thread waits for an answer: a request
/// is suspended until its exchange is answered.
class HttpServer {
public:
  struct Options {
    std::string m_Address = "127.0.0.1"; ///< IP number.
    std::uint16_t m_Port = 0;            ///< 0: the kernel chooses.
    unsigned m_Threads = 2;
    std::size_t m_MaxBodyBytes = 1 << 20; ///< Past it: 413.
    std::size_t m_MaxHeaderBytes = 16384; ///< Past it: 431.
    unsigned m_MaxConnections = 4096;     ///< Past it: left in the backlog.
    absl::Duration m_IdleTimeout = absl::Seconds(30);
    std::string m_ThreadName = "http";
    /// Called on a server thread for each whole request; must not block.
    std::function<void(HttpExchange)> m_OnRequest = nullptr;
  };

  /// Binds, listens and starts to serve.
  /// \throws HttpError if the address cannot be bound.
  explicit HttpServer(Options Settings);
  ~HttpServer();

  [[nodiscard]] std::uint16_t port() const;

  /// Stops to accept connections and answers with "Connection: close" from now
  /// on; requests in flight go on.
  void quiesce();

  /// \returns exchanges that wait for their answer to be sent whole.
  [[nodiscard]] std::size_t pending() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_HTTPSERVER_H
