#include "ConnectionWatcher.h"

#include "SteadyNow.h"
#include "http/HttpError.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace knapweedloft::http {
namespace {

constexpr ConnectionWatcher::ConnectionId StopEvent = 0;
constexpr int SweepsPerLimit = 4;
constexpr std::size_t EventsPerWait = 64;

} // namespace

ConnectionWatcher::ConnectionWatcher(const Limits &Bounds,
                                     const std::string &ThreadName)
    : m_Limits(Bounds),
      m_SweepInterval(std::min(Bounds.m_Idle, Bounds.m_Transfer) /
                      SweepsPerLimit),
      m_Epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_Stop(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (m_Epoll < 0 || m_Stop < 0)
    throw HttpError("no epoll set for the HTTP server");
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.u64 = StopEvent;
  epoll_ctl(m_Epoll, EPOLL_CTL_ADD, m_Stop, &Event);
  m_Thread = std::thread([this] { run(); });
  pthread_setname_np(m_Thread.native_handle(),
                     (ThreadName.substr(0, 12) + "-up").c_str());
}

ConnectionWatcher::~ConnectionWatcher() {
  std::uint64_t One = 1;
  [[maybe_unused]] ssize_t Written = write(m_Stop, &One, sizeof One);
  m_Thread.join();
  close(m_Stop);
  close(m_Epoll);
}

ConnectionWatcher::ConnectionId ConnectionWatcher::add(int Socket,
                                                       absl::Time Now) {
  ConnectionId Id;
  {
    absl::MutexLock Lock(&m_Mutex);
    Id = ++m_LastId;
    m_Connections.try_emplace(
        Id, Watched{.m_Socket = Socket, .m_Since = Now, .m_Pending = {}});
  }
  epoll_event Event{};
  Event.events = EPOLLRDHUP | EPOLLET;
  Event.data.u64 = Id;
  epoll_ctl(m_Epoll, EPOLL_CTL_ADD, Socket, &Event);
  return Id;
}

void ConnectionWatcher::remove(ConnectionId Connection) {
  absl::MutexLock Lock(&m_Mutex);
  auto Found = m_Connections.find(Connection);
  if (Found == m_Connections.end())
    return;
  epoll_ctl(m_Epoll, EPOLL_CTL_DEL, Found->second.m_Socket, nullptr);
  m_Connections.erase(Found);
}

bool ConnectionWatcher::beginWait(ConnectionId Connection,
                                  std::shared_ptr<PendingExchange> Pending) {
  absl::MutexLock Lock(&m_Mutex);
  auto Found = m_Connections.find(Connection);
  if (Found == m_Connections.end() || Found->second.m_HasHungUp)
    return false;
  Found->second.m_Pending = std::move(Pending);
  return true;
}

void ConnectionWatcher::beginTransfer(ConnectionId Connection, absl::Time Now) {
  begin(Connection, false, Now);
}

void ConnectionWatcher::beginIdle(ConnectionId Connection, absl::Time Now) {
  begin(Connection, true, Now);
}

void ConnectionWatcher::begin(ConnectionId Connection, bool IsIdle,
                              absl::Time Now) {
  std::shared_ptr<PendingExchange> Dropped;
  absl::MutexLock Lock(&m_Mutex);
  auto Found = m_Connections.find(Connection);
  if (Found == m_Connections.end())
    return;
  Dropped = std::exchange(Found->second.m_Pending, nullptr);
  Found->second.m_IsIdle = IsIdle;
  Found->second.m_Since = Now;
}

void ConnectionWatcher::hangUpAll() {
  std::vector<ConnectionId> All;
  {
    absl::MutexLock Lock(&m_Mutex);
    for (auto &[Id, Connection] : m_Connections)
      All.push_back(Id);
  }
  for (ConnectionId Id : All)
    hangUp(Id);
}

void ConnectionWatcher::hangUp(ConnectionId Connection) {
  std::shared_ptr<PendingExchange> Pending;
  {
    absl::MutexLock Lock(&m_Mutex);
    auto Found = m_Connections.find(Connection);
    if (Found == m_Connections.end())
      return;
    Found->second.m_HasHungUp = true;
    Pending = Found->second.m_Pending;
  }
  if (Pending)
    Pending->hangUp();
}

void ConnectionWatcher::closeOverdue(absl::Time Due, absl::Time Now) {
  bool WasPaused = Now - Due >= m_SweepInterval;
  // The pause may have begun right after the sweep before.
  absl::Duration Pause = Now - Due + m_SweepInterval;
  absl::MutexLock Lock(&m_Mutex);
  for (auto &[Id, Connection] : m_Connections) {
    if (WasPaused)
      Connection.m_Since = std::min(Connection.m_Since + Pause, Now);
    absl::Duration Limit =
        Connection.m_IsIdle ? m_Limits.m_Idle : m_Limits.m_Transfer;
    if (!Connection.m_Pending && Now - Connection.m_Since > Limit)
      shutdown(Connection.m_Socket, SHUT_RDWR);
  }
}

void ConnectionWatcher::run() {
  absl::Time NextSweep = steadyNow() + m_SweepInterval;
  std::array<epoll_event, EventsPerWait> Events{};
  while (true) {
    absl::Duration Left = NextSweep - steadyNow();
    auto Timeout = static_cast<int>(absl::ToInt64Milliseconds(Left)) + 1;
    int Count =
        epoll_wait(m_Epoll, Events.data(), Events.size(), std::max(0, Timeout));
    for (int Index = 0; Index < Count; ++Index) {
      ConnectionId Id = Events[Index].data.u64;
      if (Id == StopEvent)
        return;
      hangUp(Id);
    }
    absl::Time Now = steadyNow();
    if (Now < NextSweep)
      continue;
    closeOverdue(NextSweep, Now);
    NextSweep = Now + m_SweepInterval;
  }
}

} // namespace knapweedloft::http
