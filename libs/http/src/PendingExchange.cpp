#include "PendingExchange.h"

#include <microhttpd.h>

#include <utility>

namespace knapweedloft::http {

PendingExchange::PendingExchange(MHD_Connection *Connection,
                                 bool IsFromLoopback)
    : m_Connection(Connection), m_IsFromLoopback(IsFromLoopback) {}

bool PendingExchange::end(State To) {
  if (m_State != State::Dispatched && m_State != State::Suspended)
    return false;
  bool WasSuspended = m_State == State::Suspended;
  m_State = To;
  if (WasSuspended)
    MHD_resume_connection(m_Connection);
  return true;
}

bool PendingExchange::answer(HttpResponse Response) {
  std::function<void()> Dropped; // Destroyed after the lock is given back.
  absl::MutexLock Lock(&m_Mutex);
  if (m_State != State::Dispatched && m_State != State::Suspended)
    return false;
  m_Response = std::move(Response);
  Dropped = std::exchange(m_Hook, nullptr);
  return end(State::Answered);
}

void PendingExchange::onHangUp(std::function<void()> Hook) {
  {
    absl::MutexLock Lock(&m_Mutex);
    if (m_State == State::Answered)
      return;
    if (m_State != State::Gone) {
      m_Hook = std::move(Hook);
      return;
    }
  }
  Hook();
}

void PendingExchange::hangUp() {
  std::function<void()> Hook;
  {
    absl::MutexLock Lock(&m_Mutex);
    if (!end(State::Gone))
      return;
    Hook = std::exchange(m_Hook, nullptr);
  }
  if (Hook)
    Hook();
}

void PendingExchange::dispatch() {
  absl::MutexLock Lock(&m_Mutex);
  m_State = State::Dispatched;
}

PendingExchange::Next PendingExchange::settle() {
  absl::MutexLock Lock(&m_Mutex);
  if (m_State == State::Answered)
    return Next::Send;
  if (m_State == State::Gone)
    return Next::Close;
  if (m_State == State::Dispatched) {
    MHD_suspend_connection(m_Connection);
    m_State = State::Suspended;
  }
  return Next::Wait;
}

} // namespace knapweedloft::http
