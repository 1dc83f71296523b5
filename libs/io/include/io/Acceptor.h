#ifndef KNAPWEEDLOFT_IO_ACCEPTOR_H
#define KNAPWEEDLOFT_IO_ACCEPTOR_H

#include "io/EventLoop.h"
#include "io/FileDescriptor.h"
#include "model/Endpoint.h"

#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::io {

/// Listens at an address and hands over each connection that comes.
///
/// It takes so many a round and rests while the process is out of descriptors,
/// so that the loop goes on with the connections that there are. Belongs to the
/// thread of the loop.
///
/// \code
///   Acceptor Callers(Loop, At, [&](FileDescriptor Socket, std::string From) {
///     add(std::move(Socket), std::move(From));
///   });
/// \endcode
class Acceptor {
public:
  /// \p From is the peer's IP number. The socket does not block and sends small
  /// frames at once.
  using Hook = std::function<void(FileDescriptor Socket, std::string From)>;

  /// \throws IoError if the address cannot be bound.
  Acceptor(EventLoop &Loop, const model::Endpoint &At, Hook OnSocket);
  ~Acceptor();
  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  /// Refuses new connections by closing the listener.
  void stop();
  /// Hands over the connections that wait, then stops.
  void takeRestAndStop();

  /// \returns the address that it is bound to; it must not have been stopped.
  [[nodiscard]] model::Endpoint endpoint() const;

private:
  void accept();
  void rest();
  [[nodiscard]] bool hasInput() const;

  EventLoop &m_Loop;
  Hook m_OnSocket;
  FileDescriptor m_Listener;
  EventLoop::WatchId m_Watch = 0;
  /// Outlives the acceptor in timers that are left in the loop.
  std::shared_ptr<bool> m_IsListening = std::make_shared<bool>(true);
};

} // namespace knapweedloft::io

#endif // KNAPWEEDLOFT_IO_ACCEPTOR_H
