#include "target/WorkSlots.h"

#include "absl/time/clock.h"

#include <pthread.h>
#include <utility>

namespace knapweedloft::target {

WorkSlots::WorkSlots(unsigned Slots) : m_Slots(Slots) {
  m_Thread = std::thread([this] { run(); });
  pthread_setname_np(m_Thread.native_handle(), "work");
}

WorkSlots::~WorkSlots() {
  {
    absl::MutexLock Lock(&m_Mutex);
    m_IsStopping = true;
    m_Changed.Signal();
  }
  m_Thread.join();
}

void WorkSlots::submit(Job Work) {
  absl::MutexLock Lock(&m_Mutex);
  m_Waiting.push_back(std::move(Work));
  startWaiting(absl::Now());
  m_Changed.Signal();
}

void WorkSlots::setSlots(unsigned Slots) {
  absl::MutexLock Lock(&m_Mutex);
  m_Slots = Slots;
  startWaiting(absl::Now());
  m_Changed.Signal();
}

void WorkSlots::startWaiting(absl::Time Now) {
  while (!m_Waiting.empty() && m_Running.size() + m_Ending < m_Slots) {
    Job Work = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    if (!Work.m_OnStart())
      continue;
    m_Running.push(
        {Now + Work.m_WorkTime, ++m_Sequence, std::move(Work.m_OnEnd)});
  }
}

void WorkSlots::takeEnded(absl::Time Now,
                          std::vector<std::function<void()>> &Ended) {
  while (!m_Running.empty() && m_Running.top().m_EndsAt <= Now) {
    Ended.push_back(m_Running.top().m_OnEnd);
    m_Running.pop();
  }
  m_Ending = Ended.size();
}

void WorkSlots::run() {
  std::vector<std::function<void()>> Ended;
  while (true) {
    {
      absl::MutexLock Lock(&m_Mutex);
      if (m_IsStopping)
        return;
      m_Ending = 0;
      startWaiting(absl::Now());
      takeEnded(absl::Now(), Ended);
      if (Ended.empty() && m_Running.empty())
        m_Changed.Wait(&m_Mutex);
      else if (Ended.empty())
        m_Changed.WaitWithDeadline(&m_Mutex, m_Running.top().m_EndsAt);
    }
    for (auto &OnEnd : Ended)
      OnEnd();
    Ended.clear();
  }
}

} // namespace knapweedloft::target
