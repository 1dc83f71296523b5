#include "LoopServerImpl.h"

#include <algorithm>

namespace knapweedloft::http {
namespace {

constexpr int Unavailable = 503;
/// Who holds less is not ended for it: the room that is missing is elsewhere.
constexpr std::size_t MinLargeBytes = 16 << 10;
/// A request that was handed over is kept for another try while a copy is on
/// its way to a target.
constexpr std::size_t RequestCopies = 2;
/// Further requests of a peer with more unread wait in the kernel.
constexpr std::size_t MaxUnreadBytes = 256 << 10;
constexpr std::size_t SmallRequestBytes = 64 << 10;
/// Small requests have a share of the budget that large ones do not take.
constexpr std::size_t SmallRequestShare = 4;

bool isSmall(std::size_t RequestBytes) {
  return RequestBytes <= RequestCopies * SmallRequestBytes;
}

} // namespace

void LoopServer::Impl::countHeld(ServerConnection &Held, std::size_t Bytes) {
  m_HeldBytes = m_HeldBytes - Held.m_HeldBytes + Bytes;
  Held.m_HeldBytes = Bytes;
  count(Held);
}

void LoopServer::Impl::count(ServerConnection &Held) {
  Held.m_Share.set(Held.m_HeldBytes + Held.m_RequestBytes + Held.unreadBytes());
}

void LoopServer::Impl::countRequest(ServerConnection &Held,
                                    ServerConnection::Exchange &Of,
                                    std::size_t Bytes) {
  auto SumFor = [this](std::size_t Size) -> std::size_t & {
    return isSmall(Size) ? m_SmallRequestBytes : m_LargeRequestBytes;
  };
  SumFor(Of.m_RequestBytes) -= Of.m_RequestBytes;
  Held.m_RequestBytes -= Of.m_RequestBytes;
  Of.m_RequestBytes = Bytes * RequestCopies;
  SumFor(Of.m_RequestBytes) += Of.m_RequestBytes;
  Held.m_RequestBytes += Of.m_RequestBytes;
  count(Held);
}

bool LoopServer::Impl::hasRoomFor(std::size_t RequestBytes) const {
  if (!m_Settings.m_Budget)
    return true;
  std::size_t Bytes = RequestBytes * RequestCopies;
  std::size_t ForSmall = m_Settings.m_Budget->maxBytes() / SmallRequestShare;
  if (isSmall(Bytes))
    return m_SmallRequestBytes + Bytes <= ForSmall;
  // One of any size has room, if it could be read at all.
  return m_LargeRequestBytes == 0 ||
         m_LargeRequestBytes + Bytes <=
             m_Settings.m_Budget->maxBytes() - ForSmall;
}

void LoopServer::Impl::refuseRest(ServerConnection &Held, int Status,
                                  CallerConnectionEnd Why) {
  Held.m_StopsReading = true;
  if (!Held.m_EndsBy)
    Held.m_EndsBy = Why;
  countHeld(Held, 0);
  Held.m_Parser = MessageParser(MessageKind::Request, {});
  std::uint64_t Sequence = ++Held.m_LastSequence;
  Held.m_Exchanges.push_back({.m_Sequence = Sequence, .m_KeepsOpen = false});
  ++m_Pending;
  write({Held.m_Id, Sequence}, Status, "", "");
}

bool LoopServer::Impl::isBehind(const ServerConnection &Held) {
  return Held.m_Output.left() > MaxUnreadBytes && !Held.m_StopsReading;
}

void LoopServer::Impl::limitHeld() {
  while (m_HeldBytes > m_Settings.m_MaxHeldBytes) {
    auto Largest = std::max_element(m_Connections.begin(), m_Connections.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second->m_HeldBytes <
                                             Right.second->m_HeldBytes;
                                    });
    refuseRest(*Largest->second, Unavailable, CallerConnectionEnd::Memory);
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
      close(Held.m_Id, CallerConnectionEnd::Memory);
    else
      refuseRest(Held, Unavailable, CallerConnectionEnd::Memory);
  }
}

std::size_t LoopServer::Impl::unsentBytes() const {
  std::size_t Sum = 0;
  for (const auto &[Id, Held] : m_Connections)
    Sum += Held->m_Output.left();
  return Sum;
}

} // namespace knapweedloft::http
