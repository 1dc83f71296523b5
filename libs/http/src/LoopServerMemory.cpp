#include "LoopServerImpl.h"

#include <algorithm>

namespace knapweedloft::http {
namespace {

constexpr int Unavailable = 503;
/// Who holds less is not ended for it: the room that is missing is elsewhere.
constexpr std::size_t MinLargeBytes = 16 << 10;

} // namespace

void LoopServer::Impl::countHeld(ServerConnection &Held, std::size_t Bytes) {
  m_HeldBytes = m_HeldBytes - Held.m_HeldBytes + Bytes;
  Held.m_HeldBytes = Bytes;
  count(Held);
}

void LoopServer::Impl::count(ServerConnection &Held) {
  Held.m_Share.set(Held.m_HeldBytes + Held.unreadBytes());
}

void LoopServer::Impl::limitHeld() {
  while (m_HeldBytes > m_Settings.m_MaxHeldBytes) {
    auto Largest = std::max_element(m_Connections.begin(), m_Connections.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second->m_HeldBytes <
                                             Right.second->m_HeldBytes;
                                    });
    refuseRest(*Largest->second, Unavailable);
  }
}

void LoopServer::Impl::limitAll() {
  auto LargerPart = [](const ServerConnection &Held) {
    return std::max(Held.m_HeldBytes, Held.unreadBytes());
  };
  while (m_Settings.m_Budget && m_Settings.m_Budget->isOver()) {
    auto Largest = std::max_element(m_Connections.begin(), m_Connections.end(),
                                    [&](const auto &Left, const auto &Right) {
                                      return LargerPart(*Left.second) <
                                             LargerPart(*Right.second);
                                    });
    if (Largest == m_Connections.end() ||
        LargerPart(*Largest->second) < MinLargeBytes)
      return;
    ServerConnection &Held = *Largest->second;
    if (Held.unreadBytes() >= Held.m_HeldBytes)
      close(Held.m_Id);
    else
      refuseRest(Held, Unavailable);
  }
}

std::size_t LoopServer::Impl::unsentBytes() const {
  std::size_t Sum = 0;
  for (const auto &[Id, Held] : m_Connections)
    Sum += Held->m_Output.left();
  return Sum;
}

} // namespace knapweedloft::http
