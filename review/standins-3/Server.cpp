#include "Server.h"

#include <cerrno>
#include <memory>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace knapweedloft::review3 {

Server::Server(const Endpoint &At, Hook OnConnection)
    : m_Listener(Socket::listenOn(At)),
      m_OnConnection(std::move(OnConnection)) {
  if (m_Listener.isValid())
    m_Thread = std::thread([this] { run(); });
}

Server::~Server() {
  m_IsStopping = true;
  if (m_Thread.joinable())
    m_Thread.join();
  dropConnections();
  while (m_Running > 0)
    sleepSeconds(0.01);
}

void Server::dropConnections() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  for (const Socket *Held : m_Open)
    Held->shutDown();
}

void Server::run() {
  while (!m_IsStopping) {
    pollfd Poll{.fd = m_Listener.fd(), .events = POLLIN, .revents = 0};
    if (::poll(&Poll, 1, 50) <= 0)
      continue;
    int Fd = ::accept4(m_Listener.fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      continue;
    ++m_Running;
    std::thread([this, Fd] {
      Socket Held(Fd);
      {
        std::lock_guard<std::mutex> Lock(m_Mutex);
        m_Open.insert(&Held);
      }
      m_OnConnection(Held);
      {
        std::lock_guard<std::mutex> Lock(m_Mutex);
        m_Open.erase(&Held);
      }
      Held = Socket();
      --m_Running;
    }).detach();
  }
}

} // namespace knapweedloft::review3
