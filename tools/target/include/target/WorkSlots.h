#ifndef KNAPWEEDLOFT_TARGET_WORKSLOTS_H
#define KNAPWEEDLOFT_TARGET_WORKSLOTS_H

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <thread>
#include <vector>

namespace knapweedloft::target {

/// A number of slots that each work on one job for a set time; further jobs
/// wait in order of arrival.
class WorkSlots {
public:
  struct Job {
    absl::Duration m_WorkTime;
    /// Called when a slot takes the job. \returns false to give it up.
    std::function<bool()> m_OnStart;
    /// Called when the work time is over.
    std::function<void()> m_OnEnd;
  };

  explicit WorkSlots(unsigned Slots);
  ~WorkSlots();
  WorkSlots(const WorkSlots &) = delete;
  WorkSlots &operator=(const WorkSlots &) = delete;

  void submit(Job Work);
  void setSlots(unsigned Slots);

private:
  struct Running {
    absl::Time m_EndsAt;
    std::uint64_t m_Sequence;
    std::function<void()> m_OnEnd;
    friend bool operator>(const Running &Left, const Running &Right) {
      return Left.m_EndsAt > Right.m_EndsAt;
    }
  };

  void run();
  void startWaiting(absl::Time Now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  void takeEnded(absl::Time Now, std::vector<std::function<void()>> &Ended)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  absl::Mutex m_Mutex;
  absl::CondVar m_Changed;
  unsigned m_Slots ABSL_GUARDED_BY(m_Mutex);
  bool m_IsStopping ABSL_GUARDED_BY(m_Mutex) = false;
  std::uint64_t m_Sequence ABSL_GUARDED_BY(m_Mutex) = 0;
  /// Jobs whose time is over and whose hook has not yet returned.
  std::size_t m_Ending ABSL_GUARDED_BY(m_Mutex) = 0;
  std::deque<Job> m_Waiting ABSL_GUARDED_BY(m_Mutex);
  std::priority_queue<Running, std::vector<Running>, std::greater<>>
      m_Running ABSL_GUARDED_BY(m_Mutex);
  std::thread m_Thread;
};

} // namespace knapweedloft::target

#endif // KNAPWEEDLOFT_TARGET_WORKSLOTS_H
