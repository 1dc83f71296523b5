#ifndef KNAPWEEDLOFT_LINK_SILENTFORWARDER_H
#define KNAPWEEDLOFT_LINK_SILENTFORWARDER_H

#include "RawSocket.h"

#include <atomic>
#include <thread>
#include <utility>

namespace knapweedloft::link {

/// Passes the bytes of one TCP connection on to \p To until it is told to
/// drop them; both ends then stay open, as when something between them has
/// lost track of the connection.
class SilentForwarder {
public:
  explicit SilentForwarder(model::Endpoint To)
      : m_To(std::move(To)), m_Listener(RawSocket::listen()),
        m_Thread([this] { run(); }) {}

  ~SilentForwarder() {
    m_Thread.join();
    for (std::thread &Way : m_Ways)
      Way.join();
  }

  [[nodiscard]] model::Endpoint endpoint() const {
    return m_Listener.endpoint();
  }

  void dropToServer() { m_IsDroppingToServer = true; }
  void dropToClient() { m_IsDroppingToClient = true; }

private:
  void run() {
    m_Client = m_Listener.accept();
    m_Server = RawSocket::connect(m_To);
    m_Ways[0] =
        std::thread([this] { pass(m_Client, m_Server, m_IsDroppingToServer); });
    m_Ways[1] =
        std::thread([this] { pass(m_Server, m_Client, m_IsDroppingToClient); });
  }

  static void pass(RawSocket &From, RawSocket &To,
                   std::atomic<bool> &IsDropping) {
    while (true) {
      std::string Bytes = From.read();
      if (Bytes.empty())
        break;
      if (!IsDropping)
        To.write(Bytes);
    }
    if (!IsDropping)
      ::shutdown(To.get(), SHUT_WR);
  }

  model::Endpoint m_To;
  RawSocket m_Listener;
  RawSocket m_Client{io::FileDescriptor()};
  RawSocket m_Server{io::FileDescriptor()};
  std::atomic<bool> m_IsDroppingToServer = false;
  std::atomic<bool> m_IsDroppingToClient = false;
  std::thread m_Ways[2];
  std::thread m_Thread; ///< Last, so that the rest is there when it starts.
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_SILENTFORWARDER_H
