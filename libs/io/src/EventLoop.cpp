#include "io/EventLoop.h"

#include "io/IoError.h"
#include "io/MonotonicClock.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <utility>

namespace knapweedloft::io {
namespace {

constexpr std::uint64_t WakeToken = UINT64_MAX;
constexpr std::size_t MaxEventsARound = 256;
constexpr std::int64_t MaxWaitMs = 60'000;

constexpr unsigned GenerationShift = 32;

EventLoop::WatchId watchIdOf(std::uint32_t Index, std::uint32_t Generation) {
  return (static_cast<std::uint64_t>(Generation) << GenerationShift) | Index;
}

} // namespace

EventLoop::EventLoop()
    : m_Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      m_Wake(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!m_Epoll.isValid() || !m_Wake.isValid())
    throw IoError("cannot set up epoll");
  control(EPOLL_CTL_ADD, m_Wake.get(), EPOLLIN, WakeToken);
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

EventLoop::Slot *EventLoop::find(WatchId Watch) {
  auto Index = static_cast<std::uint32_t>(Watch);
  if (Index >= m_Slots.size())
    return nullptr;
  Slot &Found = m_Slots[Index];
  bool IsSame = Found.m_Generation == Watch >> GenerationShift;
  return IsSame && Found.m_Fd >= 0 ? &Found : nullptr;
}

void EventLoop::control(int Operation, int Fd, std::uint32_t Events,
                        WatchId Watch) {
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Watch;
  if (::epoll_ctl(m_Epoll.get(), Operation, Fd, &Event) != 0)
    throw IoError("cannot watch a socket");
}

EventLoop::WatchId EventLoop::watch(int Fd, std::uint32_t Events,
                                    IoHook OnReady) {
  if (m_Free.empty()) {
    m_Free.push_back(static_cast<std::uint32_t>(m_Slots.size()));
    m_Slots.emplace_back();
  }
  std::uint32_t Index = m_Free.back();
  Slot &Next = m_Slots[Index];
  WatchId Watch = watchIdOf(Index, Next.m_Generation);
  control(EPOLL_CTL_ADD, Fd, Events, Watch);
  m_Free.pop_back();
  Next.m_Fd = Fd;
  Next.m_OnReady = std::move(OnReady);
  return Watch;
}

void EventLoop::rewatch(WatchId Watch, std::uint32_t Events) {
  if (const Slot *Found = find(Watch))
    control(EPOLL_CTL_MOD, Found->m_Fd, Events, Watch);
}

void EventLoop::unwatch(WatchId Watch) {
  Slot *Found = find(Watch);
  if (!Found)
    return;
  ::epoll_ctl(m_Epoll.get(), EPOLL_CTL_DEL, Found->m_Fd, nullptr);
  Found->m_Fd = -1;
  ++Found->m_Generation;
  m_Freed.push_back(static_cast<std::uint32_t>(Watch));
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
  m_LookedAt = absl::InfiniteFuture();
  while (true) {
    runReady(waitMs());
    runTasks();
    runTimers();
    absl::MutexLock Lock(&m_Mutex);
    if (std::exchange(m_IsStopping, false))
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
  absl::Time Before = monotonicNow();
  int Count =
      ::epoll_wait(m_Epoll.get(), Events.data(), MaxEventsARound, TimeoutMs);
  // A process that is stopped and goes on is interrupted; what came meanwhile
  // belongs to this round.
  while (Count < 0 && errno == EINTR)
    Count = ::epoll_wait(m_Epoll.get(), Events.data(), MaxEventsARound, 0);
  measureHeldUp(Before, TimeoutMs);
  for (int Index = 0; Index < Count; ++Index) {
    WatchId Watch = Events[Index].data.u64;
    if (Watch == WakeToken)
      readWake();
    else if (Slot *Ready = find(Watch))
      Ready->m_OnReady(Events[Index].events);
  }
  for (std::uint32_t Index : m_Freed) {
    m_Slots[Index].m_OnReady = nullptr;
    m_Free.push_back(Index);
  }
  m_Freed.clear();
}

void EventLoop::measureHeldUp(absl::Time Before, int TimeoutMs) {
  absl::Time Now = monotonicNow();
  absl::Duration Worked = std::max(Before - m_LookedAt, absl::ZeroDuration());
  absl::Duration Over = Now - Before - absl::Milliseconds(TimeoutMs);
  m_HeldUp = Worked + std::max(Over, absl::ZeroDuration());
  m_LookedAt = Now;
}

void EventLoop::readWake() {
  absl::MutexLock Lock(&m_Mutex);
  eventfd_t Ignored = 0;
  ::eventfd_read(m_Wake.get(), &Ignored);
  m_IsWoken = false;
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

} // namespace knapweedloft::io
