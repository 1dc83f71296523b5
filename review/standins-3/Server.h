#ifndef KNAPWEEDLOFT_REVIEW3_SERVER_H
#define KNAPWEEDLOFT_REVIEW3_SERVER_H

#include "Http.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace knapweedloft::review3 {

/// Listens on an address and runs a hook on a thread of its own for each
/// connection.
class Server {
public:
  using Hook = std::function<void(const Socket &)>;

  Server(const Endpoint &At, Hook OnConnection);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  [[nodiscard]] bool isListening() const { return m_Listener.isValid(); }
  /// Ends all connections; the listener stays.
  void dropConnections();

private:
  void run();

  Socket m_Listener;
  Hook m_OnConnection;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<int> m_Running{0};
  std::mutex m_Mutex;
  std::set<const Socket *> m_Open;
  std::thread m_Thread;
};

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_SERVER_H
