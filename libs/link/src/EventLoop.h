#ifndef KNAPWEEDLOFT_LINK_EVENTLOOP_H
#define KNAPWEEDLOFT_LINK_EVENTLOOP_H

#include "FileDescriptor.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <thread>
#include <tuple>
#include <vector>

namespace knapweedloft::link {

/// One thread over epoll that runs I/O handlers, tasks and timers.
///
/// A round handles every socket that is ready before any task or timer, so
/// that a process that was paused reads what arrived meanwhile before it
/// judges a peer silent.
class EventLoop {
public:
  using Task = std::function<void()>;
  /// \p Token is the one given to watch(); \p Events are epoll's.
  using IoHandler =
      std::function<void(std::uint64_t Token, std::uint32_t Events)>;

  /// \throws LinkError if the kernel grants no epoll instance.
  explicit EventLoop(IoHandler OnReady);
  ~EventLoop();

  /// Starts the thread.
  void start(const char *ThreadName);
  /// Ends the thread; tasks that are left never run.
  void stop();

  void watch(int Fd, std::uint32_t Events, std::uint64_t Token);
  void rewatch(int Fd, std::uint32_t Events, std::uint64_t Token);

  /// Runs \p Run on the thread once \p Delay is over. From any thread.
  void post(Task Run, absl::Duration Delay = absl::ZeroDuration());

private:
  struct Timer {
    absl::Time m_Due;
    std::uint64_t m_Order; ///< Timers due at once run in the order of post().
    Task m_Run;
    bool operator<(const Timer &Other) const {
      return std::tie(Other.m_Due, Other.m_Order) < std::tie(m_Due, m_Order);
    }
  };

  void run();
  void runReady(int TimeoutMs);
  void runTasks();
  void runTimers();
  int waitMs();
  void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  IoHandler m_OnReady;
  FileDescriptor m_Epoll;
  FileDescriptor m_Wake;
  std::thread m_Thread;
  absl::Mutex m_Mutex;
  std::vector<Task> m_Tasks ABSL_GUARDED_BY(m_Mutex);
  std::priority_queue<Timer> m_Timers ABSL_GUARDED_BY(m_Mutex);
  std::uint64_t m_NextOrder ABSL_GUARDED_BY(m_Mutex) = 0;
  std::thread::id m_Running ABSL_GUARDED_BY(m_Mutex);
  bool m_IsWoken ABSL_GUARDED_BY(m_Mutex) = false;
  bool m_IsStopping ABSL_GUARDED_BY(m_Mutex) = false;
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_EVENTLOOP_H
