#include "EventLoop.h"

#include "MonotonicClock.h"
#include "link/LinkError.h"

#include <algorithm>
#include <array>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <utility>

namespace knapweedloft::link {
namespace {

constexpr std::uint64_t WakeToken = UINT64_MAX;
constexpr std::size_t MaxEventsARound = 256;
constexpr std::int64_t MaxWaitMs = 60'000;

void control(int Epoll, int Operation, int Fd, std::uint32_t Events,
             std::uint64_t Token) {
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Token;
  if (::epoll_ctl(Epoll, Operation, Fd, &Event) != 0)
    throw LinkError("cannot watch a socket");
}

} // namespace

EventLoop::EventLoop(IoHandler OnReady)
    : m_OnReady(std::move(OnReady)), m_Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      m_Wake(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!m_Epoll.isValid() || !m_Wake.isValid())
    throw LinkError("cannot set up epoll");
  watch(m_Wake.get(), EPOLLIN, WakeToken);
}

EventLoop::~EventLoop() { stop(); }

void EventLoop::start(const char *ThreadName) {
  m_Thread = std::thread([this] { run(); });
  ::pthread_setname_np(m_Thread.native_handle(), ThreadName);
}

void EventLoop::stop() {
  {
    absl::MutexLock Lock(&m_Mutex);
    m_IsStopping = true;
    wake();
  }
  if (m_Thread.joinable())
    m_Thread.join();
}

void EventLoop::watch(int Fd, std::uint32_t Events, std::uint64_t Token) {
  control(m_Epoll.get(), EPOLL_CTL_ADD, Fd, Events, Token);
}

void EventLoop::rewatch(int Fd, std::uint32_t Events, std::uint64_t Token) {
  control(m_Epoll.get(), EPOLL_CTL_MOD, Fd, Events, Token);
}

void EventLoop::post(Task Run, absl::Duration Delay) {
  absl::MutexLock Lock(&m_Mutex);
  if (Delay <= absl::ZeroDuration())
    m_Tasks.push_back(std::move(Run));
  else
    m_Timers.push({monotonicNow() + Delay, m_NextOrder++, std::move(Run)});
  if (m_Running != std::this_thread::get_id())
    wake();
}

void EventLoop::run() {
  {
    absl::MutexLock Lock(&m_Mutex);
    m_Running = std::this_thread::get_id();
  }
  while (true) {
    runReady(waitMs());
    runTasks();
    runTimers();
    absl::MutexLock Lock(&m_Mutex);
    if (m_IsStopping)
      return;
  }
}

int EventLoop::waitMs() {
  absl::MutexLock Lock(&m_Mutex);
  if (!m_Tasks.empty() || m_IsStopping)
    return 0;
  if (m_Timers.empty())
    return static_cast<int>(MaxWaitMs);
  absl::Duration Left = m_Timers.top().m_Due - monotonicNow();
  std::int64_t LeftMs =
      absl::ToInt64Milliseconds(absl::Ceil(Left, absl::Milliseconds(1)));
  return static_cast<int>(std::clamp<std::int64_t>(LeftMs, 0, MaxWaitMs));
}

void EventLoop::runReady(int TimeoutMs) {
  std::array<epoll_event, MaxEventsARound> Events;
  int Count =
      ::epoll_wait(m_Epoll.get(), Events.data(), MaxEventsARound, TimeoutMs);
  for (int Index = 0; Index < Count; ++Index) {
    if (Events[Index].data.u64 != WakeToken) {
      m_OnReady(Events[Index].data.u64, Events[Index].events);
      continue;
    }
    absl::MutexLock Lock(&m_Mutex);
    eventfd_t Ignored = 0;
    ::eventfd_read(m_Wake.get(), &Ignored);
    m_IsWoken = false;
  }
}

void EventLoop::runTasks() {
  std::vector<Task> Tasks;
  {
    absl::MutexLock Lock(&m_Mutex);
    Tasks.swap(m_Tasks);
  }
  for (Task &Run : Tasks)
    Run();
}

void EventLoop::runTimers() {
  absl::Time Now = monotonicNow();
  while (true) {
    Task Run;
    {
      absl::MutexLock Lock(&m_Mutex);
      if (m_Timers.empty() || m_Timers.top().m_Due > Now)
        return;
      Run = m_Timers.top().m_Run;
      m_Timers.pop();
    }
    Run();
  }
}

void EventLoop::wake() {
  if (m_IsWoken)
    return;
  m_IsWoken = true;
  ::eventfd_write(m_Wake.get(), 1);
}

} // namespace knapweedloft::link
