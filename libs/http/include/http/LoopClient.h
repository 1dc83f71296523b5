#ifndef KNAPWEEDLOFT_HTTP_LOOPCLIENT_H
#define KNAPWEEDLOFT_HTTP_LOOPCLIENT_H

#include "http/ConnectionCounts.h"
#include "http/HttpResult.h"
#include "io/EventLoop.h"
#include "model/Endpoint.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::http {

/// An HTTP/1.1 client on an event loop that is shared with others.
///
/// One call at a time on a connection; connections are kept and the one used
/// last is taken first. A call is written once. Where a kept connection turns
/// out closed before a byte was written, another is opened; any later break is
/// Cut, since the server may have acted. A connection that brings bytes that
/// nobody waits for is closed, also if they wait unread when it is to be used
/// again. What servers send is bounded in bytes over all
/// calls and, by the timeout of each call, in time. The client belongs to the
/// thread of the loop.
///
/// \code
///   LoopClient Client(Loop, {});
///   Client.send({.m_To = At, .m_Text = requestText(Request)}, onResult);
/// \endcode
class LoopClient {
public:
  using CallId = std::uint64_t;
  using Done = std::function<void(HttpResult, absl::Time Now)>;

  struct Options {
    /// Kept connections, for each address. Above the number of calls that run
    /// at once, or each burst opens anew what was closed after the one before.
    std::size_t m_MaxIdle = 1024;
    /// A connection is kept so long at most; servers tell their own times.
    absl::Duration m_MaxIdleFor = absl::Seconds(8);
    absl::Duration m_ConnectTimeout = absl::Seconds(1);
    std::size_t m_MaxAnswerBytes = 64 << 20;
    /// Of all answers that are not whole yet. Past it the largest is broken off
    /// as Cut: a server may send bytes without end.
    std::size_t m_MaxHeldBytes = 32 << 20;
    /// Interim answers and answers to others on a connection during one call;
    /// past it the call is Cut.
    std::size_t m_MaxSkipped = 64;
    /// \returns whether a response answers the call named \p Tag. One that does
    /// not is dropped and the next is waited for. Null: all do.
    std::function<bool(const HttpResponse &, const std::string &Tag)> m_IsOwn;
    /// \returns whether a response names any call. Once an address has named
    /// one, what names none on a connection that carried a call before is
    /// dropped too: it may be a second copy. Null: none is dropped for that.
    std::function<bool(const HttpResponse &)> m_IsNamed;
  };

  struct Call {
    model::Endpoint m_To;
    std::string m_Text; ///< The whole request.
    std::string m_Tag;  ///< For m_IsOwn.
    absl::Duration m_Timeout = absl::Seconds(10);
    /// Takes a kept connection only if it was used within this time: a server
    /// may have closed one that was idle, and what is written then may or may
    /// not have been read.
    absl::Duration m_MaxIdleFor = absl::InfiniteDuration();
  };

  LoopClient(io::EventLoop &Loop, Options Settings);
  ~LoopClient();

  /// \p OnDone runs once, never before this returns.
  CallId send(Call Next, Done OnDone);

  /// Ends a call by closing its connection; its hook does not run.
  void cancel(CallId Id);

  /// \returns how many connections were opened and closed so far, by cause.
  [[nodiscard]] const ConnectionCounts &counts() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_LOOPCLIENT_H
