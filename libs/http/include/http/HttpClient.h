#ifndef KNAPWEEDLOFT_HTTP_HTTPCLIENT_H
#define KNAPWEEDLOFT_HTTP_HTTPCLIENT_H

#include "http/HttpMessage.h"
#include "http/HttpResult.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::http {

/// Sends requests by libcurl over kept connections, many at once on one
/// thread. Every member may be called from any thread.
class HttpClient {
public:
  using CallId = std::uint64_t;
  using Done = std::function<void(HttpResult)>;

  struct Options {
    std::size_t m_MaxBodyBytes = 1 << 20; ///< A larger answer is cut off.
    /// Of the bodies of all answers that are not whole yet. Past it the largest
    /// is cut off as TooLarge.
    std::size_t m_MaxHeldBytes = std::size_t{256} << 20;
    std::size_t m_MaxIdleConnections = 256;
    /// More calls than this wait for one of the connections.
    std::size_t m_MaxConnections = 1024;
    std::string m_ThreadName = "http-client";
  };

  explicit HttpClient(Options Settings);
  /// Cancels what is under way; no callback runs after it.
  ~HttpClient();

  /// Sends \p Request to \p Base ("http://127.0.0.1:8080") and calls \p OnDone
  /// once, on the client's thread. The body is sent as it is, its length is
  /// declared.
  CallId send(const std::string &Base, HttpRequest Request,
              absl::Duration Timeout, Done OnDone);

  /// Closes the call's connection. Its callback runs with Failure::Cancelled
  /// unless it has run.
  void cancel(CallId Call);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_HTTPCLIENT_H
