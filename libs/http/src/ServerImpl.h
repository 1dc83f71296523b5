#ifndef KNAPWEEDLOFT_HTTP_SERVERIMPL_H
#define KNAPWEEDLOFT_HTTP_SERVERIMPL_H

#include "ConnectionWatcher.h"
#include "PendingExchange.h"
#include "http/HttpServer.h"

#include <microhttpd.h>

#include <atomic>
#include <memory>

namespace knapweedloft::http {

/// The libmicrohttpd daemon behind a server and its callbacks.
class HttpServer::Impl {
public:
  explicit Impl(Options Settings);
  ~Impl();
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  [[nodiscard]] std::uint16_t port() const { return m_Port; }
  [[nodiscard]] std::size_t pending() const { return m_Pending; }
  void quiesce();
  /// Serves the connections that wait to be accepted.
  void takeBacklog(int Listener);

private:
  /// What a connection keeps between its requests.
  struct ServerConnection {
    ConnectionWatcher::ConnectionId m_Id;
    bool m_IsFromLoopback;
  };

  /// What libmicrohttpd keeps for a request.
  using Handle = std::shared_ptr<PendingExchange>;

  static void *onRequestLine(void *Self, const char *Uri,
                             MHD_Connection *Connection);
  static MHD_Result onRequest(void *Self, MHD_Connection *Connection,
                              const char *Url, const char *Method,
                              const char *Version, const char *Body,
                              std::size_t *BodySize, void **Context);
  static void onCompleted(void *Self, MHD_Connection *Connection,
                          void **Context, MHD_RequestTerminationCode Code);
  static void onConnection(void *Self, MHD_Connection *Connection,
                           void **Context, MHD_ConnectionNotificationCode Code);

  void start();
  MHD_Result readHeaders(MHD_Connection *Connection, const char *Method,
                         PendingExchange &Pending);
  void readBody(PendingExchange &Pending, const char *Body, std::size_t Size);
  MHD_Result finish(MHD_Connection *Connection, const Handle &Pending);
  MHD_Result refuse(MHD_Connection *Connection, PendingExchange &Pending);
  MHD_Result send(MHD_Connection *Connection, PendingExchange &Pending,
                  const HttpResponse &Response);

  [[nodiscard]] int checkHeaders(const HttpRequest &Request,
                                 std::size_t HeaderBytes) const;
  [[nodiscard]] std::uint64_t maxDiscardedBytes() const;

  Options m_Settings;
  ConnectionWatcher m_Watcher;
  std::atomic<std::size_t> m_Pending = 0;
  std::atomic<bool> m_IsQuiesced = false;
  std::atomic<bool> m_IsStopping = false;
  MHD_Daemon *m_Daemon = nullptr;
  std::uint16_t m_Port = 0;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_SERVERIMPL_H
