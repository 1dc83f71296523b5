#include "app/AppendQueue.h"

#include "platform/PlatformError.h"

#include <pthread.h>
#include <utility>

namespace knapweedloft::app {

AppendQueue::AppendQueue(Options Settings) : m_Options(std::move(Settings)) {
  m_Thread = std::thread([this] { work(); });
  pthread_setname_np(m_Thread.native_handle(), "append");
}

AppendQueue::~AppendQueue() {
  {
    absl::MutexLock Lock(&m_Mutex);
    m_IsStopping = true;
    m_Items.clear();
  }
  m_Thread.join();
}

bool AppendQueue::append(std::string Payload, Done OnDone) {
  absl::MutexLock Lock(&m_Mutex);
  if (m_Items.size() >= m_Options.m_MaxQueued)
    return false;
  m_Items.push_back({std::move(Payload), std::move(OnDone)});
  return true;
}

std::size_t AppendQueue::queued() const {
  absl::MutexLock Lock(&m_Mutex);
  return m_Items.size();
}

void AppendQueue::work() {
  while (true) {
    Item Next;
    {
      absl::MutexLock Lock(&m_Mutex);
      m_Mutex.Await(absl::Condition(
          +[](AppendQueue *Self) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Self->m_Mutex) {
            return Self->m_IsStopping || !Self->m_Items.empty();
          },
          this));
      if (m_IsStopping)
        return;
      Next = std::move(m_Items.front());
      m_Items.pop_front();
    }
    bool IsAccepted = write(Next.m_Payload);
    if (Next.m_OnDone)
      Next.m_OnDone(IsAccepted);
  }
}

bool AppendQueue::write(const std::string &Payload) {
  try {
    m_Options.m_Log.m_Append(m_Options.m_Stream, Payload);
    return true;
  } catch (const platform::PlatformError &) {
    return false;
  }
}

} // namespace knapweedloft::app
