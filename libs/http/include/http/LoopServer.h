#ifndef KNAPWEEDLOFT_HTTP_LOOPSERVER_H
#define KNAPWEEDLOFT_HTTP_LOOPSERVER_H

#include "http/CallerConnectionCounts.h"
#include "http/ExchangeId.h"
#include "http/HttpMessage.h"
#include "http/ParsedMessage.h"
#include "io/EventLoop.h"
#include "io/MonotonicClock.h"
#include "model/Endpoint.h"
#include "policy/MemoryBudget.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace knapweedloft::http {

/// An HTTP/1.1 server on an event loop that is shared with others.
///
/// Requests of one connection are handed over as they come and answered in
/// their order. Where a peer closes its side, its requests are given up. A
/// connection that the server ends is read on until the peer has closed, so
/// that the last answer is not lost by bytes that nobody reads. After a pause
/// of the process its other sockets are read first. What peers send is bounded
/// in bytes over all requests and in time. The server belongs to the thread of
/// the loop.
///
/// \code
///   LoopServer Server(Loop, {.m_At = At, .m_Hooks = {.m_OnRequest = handle}});
///   ...
///   Server.answer(Id, {.m_Status = 200, .m_Body = Text});
/// \endcode
class LoopServer {
public:
  struct Hooks {
    /// \p From is the peer's IP number.
    std::function<void(ExchangeId, ParsedMessage, const std::string &From)>
        m_OnRequest;
    /// The connection was closed with the request, not answered yet, on it.
    /// Never runs inside a call of the server.
    std::function<void(ExchangeId, CallerConnectionEnd)> m_OnGone;
  };

  struct Limits {
    std::size_t m_MaxHeaderBytes = 16 << 10;
    std::size_t m_MaxBodyBytes = 64 << 20;
    /// From the first byte of a request to the end of its header section, while
    /// the server reads. Past it the request is refused with 408 behind those
    /// before it, and its connection ends.
    absl::Duration m_HeaderTimeout = absl::Seconds(10);
    /// Without a request under way, or without a byte of an unfinished body:
    /// that request is refused like one whose header section is late.
    absl::Duration m_IdleTimeout = absl::Seconds(60);
    absl::Duration m_WriteTimeout = absl::Seconds(30); ///< Without progress.
    /// An ended connection waits so long for its peer to close.
    absl::Duration m_LingerTimeout = absl::Seconds(2);
  };

  struct Options {
    model::Endpoint m_At;
    Limits m_Limits;
    std::size_t m_MaxConnections = 3000;
    std::size_t m_MaxPipelined = 64; ///< Requests unanswered on a connection.
    /// Of all requests that are not handed over yet. Past it the largest is
    /// refused with 503 and its connection ended.
    std::size_t m_MaxHeldBytes = 256 << 20;
    /// Of requests until they are answered and answers until they are read.
    /// While it is over, the connection with the most unread is closed, or the
    /// largest unfinished request refused with 503. A whole request that has no
    /// room is refused with 503 and not handed over. Outlives the server; null:
    /// none.
    policy::MemoryBudget *m_Budget = nullptr;
    Hooks m_Hooks;
    /// The time by which limits are judged.
    std::function<absl::Time()> m_Clock = &io::monotonicNow;
  };

  /// Binds and listens.
  /// \throws HttpError if the address cannot be bound.
  LoopServer(io::EventLoop &Loop, Options Settings);
  ~LoopServer();

  /// Answers a request; ignored if its peer is gone.
  void answer(ExchangeId Id, const HttpResponse &Response);
  /// Answers with header lines that are passed on as they are.
  void answer(ExchangeId Id, int Status, std::string_view Lines,
              std::string_view Body);

  /// For requests and connections from now on.
  void setLimits(const Limits &Changed);

  /// Ends connections whose time is over. The server does so by itself every
  /// half second.
  void endOverdue();

  /// Answers close their connections from now on. Idle ones are left open:
  /// peers may have requests on their way.
  void beginClosing();
  /// Hands over what has come, closes the listener and ends idle connections;
  /// those that have not brought a request yet stay open.
  void endIdle();
  /// \returns whether no request is being read or unanswered, and all answers
  /// are written.
  [[nodiscard]] bool isIdle() const;
  /// \returns the connections that are open; those that only wait for their
  /// peers to close count.
  [[nodiscard]] std::size_t connections() const;
  [[nodiscard]] const CallerConnectionCounts &counts() const;

  /// \returns how many requests are not answered yet.
  [[nodiscard]] std::size_t pending() const;
  /// \returns the bytes of answers that peers have not read yet.
  [[nodiscard]] std::size_t unsentBytes() const;
  [[nodiscard]] std::uint16_t port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_LOOPSERVER_H
