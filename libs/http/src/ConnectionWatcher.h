#ifndef KNAPWEEDLOFT_HTTP_CONNECTIONWATCHER_H
#define KNAPWEEDLOFT_HTTP_CONNECTIONWATCHER_H

#include "PendingExchange.h"

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace knapweedloft::http {

/// Finds peers that hang up, are idle or are too slow.
///
/// libmicrohttpd does not look at the socket of a suspended connection. This
/// thread has an epoll set of its own that wakes only when a peer closes its
/// side; a peer that shuts down its sending side only counts as gone too.
/// A few times per limit it closes connections that were idle for too long, or
/// in the middle of a request or of an answer, however steadily bytes trickle.
/// A pause of the process is not counted; libmicrohttpd's own timeout counts it
/// and acts before it reads what came meanwhile.
class ConnectionWatcher {
public:
  using ConnectionId = std::uint64_t;

  struct Limits {
    absl::Duration m_Idle;     ///< Until the first line of a request is read.
    absl::Duration m_Transfer; ///< Of a whole request, or of a whole answer.
  };

  /// \throws HttpError if the epoll set cannot be made.
  ConnectionWatcher(const Limits &Bounds, const std::string &ThreadName);
  ~ConnectionWatcher();
  ConnectionWatcher(const ConnectionWatcher &) = delete;
  ConnectionWatcher &operator=(const ConnectionWatcher &) = delete;

  /// Adds a connection, which is idle.
  [[nodiscard]] ConnectionId add(int Socket, absl::Time Now);
  void remove(ConnectionId Connection);

  /// The request is whole and waits for its answer.
  /// \returns false if the peer has hung up already.
  bool beginWait(ConnectionId Connection,
                 std::shared_ptr<PendingExchange> Pending);

  /// A request is being read, or its answer is about to be sent.
  void beginTransfer(ConnectionId Connection, absl::Time Now);
  /// The connection has become idle.
  void beginIdle(ConnectionId Connection, absl::Time Now);

  /// Ends every wait as if the peers had hung up.
  void hangUpAll();

  /// Closes connections that are past a limit; the thread does so by itself.
  /// A pause of the process shows in \p Due, when this was to run.
  void closeOverdue(absl::Time Due, absl::Time Now);

private:
  struct Watched {
    int m_Socket;
    bool m_HasHungUp = false;
    bool m_IsIdle = true;
    absl::Time m_Since; ///< When it became idle, or the transfer began.
    std::shared_ptr<PendingExchange> m_Pending; ///< Set while it waits.
  };

  void run();
  void hangUp(ConnectionId Connection);
  void begin(ConnectionId Connection, bool IsIdle, absl::Time Now);

  const Limits m_Limits;
  const absl::Duration m_SweepInterval;
  int m_Epoll;
  int m_Stop;
  absl::Mutex m_Mutex;
  ConnectionId m_LastId ABSL_GUARDED_BY(m_Mutex) = 0;
  absl::flat_hash_map<ConnectionId, Watched>
      m_Connections ABSL_GUARDED_BY(m_Mutex);
  std::thread m_Thread;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_CONNECTIONWATCHER_H
