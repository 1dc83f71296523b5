#ifndef KNAPWEEDLOFT_HTTP_HTTPEXCHANGE_H
#define KNAPWEEDLOFT_HTTP_HTTPEXCHANGE_H

#include "http/HttpMessage.h"

#include <functional>
#include <memory>

namespace knapweedloft::http {

/// One request that a server received and its answer to come.
///
/// Copies stand for the same exchange. Every member may be called from any
/// thread. An exchange that is dropped without an answer answers 500.
///
/// \code
///   Server.m_OnRequest = [](HttpExchange Exchange) {
///     Exchange.onHangUp([] { cancelWork(); });
///     Exchange.answer({.m_Status = 204});
///   };
/// \endcode
class HttpExchange {
public:
  class Impl;
  explicit HttpExchange(std::shared_ptr<Impl> State);

  [[nodiscard]] const HttpRequest &request() const;

  /// \returns whether the peer's address is in the loopback range.
  [[nodiscard]] bool isFromLoopback() const;

  /// Sends the answer. \returns false if it was answered before or the caller
  /// has hung up; nothing is sent then.
  bool answer(HttpResponse Response);

  /// Calls \p Hook once if the caller hangs up before the answer; at once if
  /// it has already.
  void onHangUp(std::function<void()> Hook);

private:
  std::shared_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_HTTPEXCHANGE_H
