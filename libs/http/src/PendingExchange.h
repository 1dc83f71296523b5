#ifndef KNAPWEEDLOFT_HTTP_PENDINGEXCHANGE_H
#define KNAPWEEDLOFT_HTTP_PENDINGEXCHANGE_H

#include "http/HttpMessage.h"

#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <functional>

struct MHD_Connection;

namespace knapweedloft::http {

/// One request on a server connection, from its request line until its answer
/// is sent. Owned by the connection and by the exchanges handed out for it.
///
/// While it waits for its answer the connection is suspended in libmicrohttpd;
/// whoever ends the wait (answer or hang-up) resumes it, exactly once and under
/// the lock, so that the server cannot free the connection in between.
class PendingExchange {
public:
  PendingExchange(MHD_Connection *Connection, bool IsFromLoopback);

  [[nodiscard]] HttpRequest &request() { return m_Request; }
  [[nodiscard]] bool isFromLoopback() const { return m_IsFromLoopback; }

  bool answer(HttpResponse Response);
  void onHangUp(std::function<void()> Hook);

  /// The peer is gone: later answers are refused and the hook runs.
  void hangUp();

  /// What the server does next with a request that was handed out.
  enum class Next : std::uint8_t { Wait, Send, Close };

  /// Marks the request as handed out.
  void dispatch();

  /// Suspends the connection unless the answer or a hang-up came already. Only
  /// for the server thread of the connection.
  [[nodiscard]] Next settle();

  /// \returns the answer; valid once settle() said Send.
  [[nodiscard]] const HttpResponse &response() const { return m_Response; }

  /// The answer of the server itself; set if it refuses the request.
  HttpResponse m_Refusal;
  /// The refusal status found while the request was read, or 0.
  int m_RefusalStatus = 0;
  /// Bytes of body read, kept or not.
  std::uint64_t m_BodyBytes = 0;
  bool m_HeadersRead = false;
  bool m_IsDispatched = false;
  bool m_IsQueued = false;

private:
  enum class State : std::uint8_t {
    Receiving,
    Dispatched,
    Suspended,
    Answered,
    Gone,
  };

  /// Moves to \p To and resumes a suspended connection.
  /// \returns false if the exchange is over.
  bool end(State To) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  MHD_Connection *const m_Connection;
  const bool m_IsFromLoopback;
  HttpRequest m_Request;
  HttpResponse m_Response;
  absl::Mutex m_Mutex;
  State m_State ABSL_GUARDED_BY(m_Mutex) = State::Receiving;
  std::function<void()> m_Hook ABSL_GUARDED_BY(m_Mutex);
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_PENDINGEXCHANGE_H
