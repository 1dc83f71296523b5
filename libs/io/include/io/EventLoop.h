#ifndef KNAPWEEDLOFT_IO_EVENTLOOP_H
#define KNAPWEEDLOFT_IO_EVENTLOOP_H

#include "io/FileDescriptor.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <thread>
#include <tuple>
#include <vector>

namespace knapweedloft::io {

/// One thread over epoll that runs I/O hooks, tasks and timers.
///
/// A round handles every socket that is ready before any task or timer, so
/// that a process that was paused reads what arrived meanwhile before it
/// judges a peer silent. Hooks may watch and unwatch anything.
///
/// \code
///   EventLoop Loop;
///   WatchId Id = Loop.watch(Fd, EPOLLIN, [&](std::uint32_t) { read(); });
///   Loop.post([&] { Loop.stop(); }, absl::Seconds(1));
///   Loop.run(); // on this thread; or start(), on one of its own
/// \endcode
class EventLoop {
public:
  using Task = std::function<void()>;
  /// \p Events are epoll's.
  using IoHook = std::function<void(std::uint32_t Events)>;
  /// Names one watched descriptor; never used again for another.
  using WatchId = std::uint64_t;

  /// \throws IoError if the kernel grants no epoll instance.
  EventLoop();
  ~EventLoop();

  /// Starts a thread that runs the loop.
  void start(const char *ThreadName);
  /// Runs the loop on this thread until stop(); may be run again.
  void run();
  /// Ends the loop; tasks that are left run only if it is run again. From any
  /// thread.
  void stop();

  /// The next three belong to the loop's thread once it runs. A descriptor is
  /// unwatched before it is closed.
  WatchId watch(int Fd, std::uint32_t Events, IoHook OnReady);
  void rewatch(WatchId Watch, std::uint32_t Events);
  void unwatch(WatchId Watch);

  /// \returns how long what this round found ready may have waited because the
  /// process did not run, or was at work, since its sockets were looked at
  /// before. On the loop's thread.
  [[nodiscard]] absl::Duration heldUp() const { return m_HeldUp; }

  /// Runs \p Run on the thread once \p Delay is over. From any thread.
  void post(Task Run, absl::Duration Delay = absl::ZeroDuration());

private:
  struct Slot {
    int m_Fd = -1; ///< -1: free.
    std::uint32_t m_Generation = 0;
    IoHook m_OnReady;
  };

  struct Timer {
    absl::Time m_Due;
    std::uint64_t m_Order; ///< Timers due at once run in the order of post().
    Task m_Run;
    bool operator<(const Timer &Other) const {
      return std::tie(Other.m_Due, Other.m_Order) < std::tie(m_Due, m_Order);
    }
  };

  [[nodiscard]] Slot *find(WatchId Watch);
  void control(int Operation, int Fd, std::uint32_t Events, WatchId Watch);
  void runReady(int TimeoutMs);
  void readWake();
  void measureHeldUp(absl::Time Before, int TimeoutMs);
  void runTasks();
  void runTimers();
  int waitMs();
  void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  FileDescriptor m_Epoll;
  FileDescriptor m_Wake;
  std::deque<Slot> m_Slots;
  std::vector<std::uint32_t> m_Free;
  /// Slots freed in this round; their hooks may still be running.
  std::vector<std::uint32_t> m_Freed;
  absl::Time m_LookedAt = absl::InfiniteFuture(); ///< When the last wait ended.
  absl::Duration m_HeldUp;
  std::thread m_Thread;
  absl::Mutex m_Mutex;
  std::vector<Task> m_Tasks ABSL_GUARDED_BY(m_Mutex);
  std::priority_queue<Timer> m_Timers ABSL_GUARDED_BY(m_Mutex);
  std::uint64_t m_NextOrder ABSL_GUARDED_BY(m_Mutex) = 0;
  std::thread::id m_Running ABSL_GUARDED_BY(m_Mutex);
  bool m_IsWoken ABSL_GUARDED_BY(m_Mutex) = false;
  bool m_IsStopping ABSL_GUARDED_BY(m_Mutex) = false;
};

} // namespace knapweedloft::io

#endif // KNAPWEEDLOFT_IO_EVENTLOOP_H
