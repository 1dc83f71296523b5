#include "LoopServerImpl.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace knapweedloft::http {
namespace {

/// Time-outs are whole seconds at least; they are looked at this often.
constexpr absl::Duration SweepInterval = absl::Milliseconds(500);
/// After a pause as long as this, what other sockets bring may change whether
/// and how a request is served.
constexpr absl::Duration LongPause = absl::Milliseconds(500);
/// Enough to read what waits, and for an answer of another machine.
constexpr absl::Duration ResumeAfter = absl::Milliseconds(100);
/// Peers send on while the server waits.
constexpr absl::Duration MeasuredAfter = absl::Seconds(1);
constexpr int RequestTimeout = 408;

} // namespace

bool LoopServer::Impl::waitsForOthers() {
  if (m_IsWaiting || m_Loop.heldUp() < LongPause)
    return m_IsWaiting;
  m_IsWaiting = true;
  m_MeasuresUntil = m_Settings.m_Clock() + MeasuredAfter;
  for (auto &[Id, Held] : m_Connections)
    setEvents(*Held);
  m_Loop.post(
      [this, IsAlive = m_IsAlive] {
        if (*IsAlive)
          resume();
      },
      ResumeAfter);
  return true;
}

void LoopServer::Impl::resume() {
  m_IsWaiting = false;
  for (auto &[Id, Held] : m_Connections)
    setEvents(*Held);
}

std::optional<CallerConnectionEnd>
LoopServer::Impl::overdue(const ServerConnection &Held, absl::Time Now) const {
  const Limits &Bounds = m_Settings.m_Limits;
  if (Now - Held.m_LingersSince > Bounds.m_LingerTimeout)
    return CallerConnectionEnd::LastAnswer;
  if (Held.m_Output.left() > 0 &&
      Now - Held.m_LastWritten > Bounds.m_WriteTimeout)
    return CallerConnectionEnd::WriteTimeout;
  if (!Held.isRead())
    return std::nullopt;
  auto HasPassed = [&](absl::Duration Limit, absl::Time Since) {
    return Now - std::max(Since, Held.m_ReadsSince) > Limit;
  };
  bool IsLate = Held.m_Parser.isInsideHead()
                    ? HasPassed(Bounds.m_HeaderTimeout, Held.m_MessageSince)
                    : HasPassed(Bounds.m_IdleTimeout, Held.m_LastRead);
  if (Held.m_Parser.isInside() && !Held.m_StopsReading && IsLate)
    return CallerConnectionEnd::RequestTimeout;
  if (isIdle(Held) && HasPassed(Bounds.m_IdleTimeout, Held.m_LastActive))
    return CallerConnectionEnd::Idle;
  return std::nullopt;
}

void LoopServer::Impl::end(std::uint64_t Id, CallerConnectionEnd Why,
                           absl::Time Now) {
  bool IsCallerLate = Why == CallerConnectionEnd::RequestTimeout ||
                      Why == CallerConnectionEnd::Idle;
  if (IsCallerLate) {
    // What it sent in time may not have been read yet.
    read(Id);
    ServerConnection *Held = find(Id);
    if (!Held || overdue(*Held, Now) != Why)
      return;
    // The requests before the one that is late have their answers first.
    if (Why == CallerConnectionEnd::RequestTimeout)
      return refuseRest(*Held, RequestTimeout, Why);
  }
  close(Id, Why);
}

void LoopServer::Impl::endOverdue() {
  (void)waitsForOthers(); // What came during a pause is read after it.
  absl::Time Now = m_Settings.m_Clock();
  std::vector<std::pair<std::uint64_t, CallerConnectionEnd>> Due;
  for (const auto &[Id, Held] : m_Connections)
    if (auto Why = overdue(*Held, Now))
      Due.emplace_back(Id, *Why);
  for (auto [Id, Why] : Due)
    end(Id, Why, Now);
}

void LoopServer::Impl::sweep() {
  endOverdue();
  m_Loop.post(
      [this, IsAlive = m_IsAlive] {
        if (*IsAlive)
          sweep();
      },
      SweepInterval);
}

} // namespace knapweedloft::http
