#include "platform/Appender.h"

#include "platform/NamedThread.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace knapweedloft::platform {

class Appender::Impl {
public:
  explicit Impl(Options Settings) : m_Settings(std::move(Settings)) {
    for (unsigned Count = 0; Count < m_Settings.m_Threads; ++Count)
      m_Threads.push_back(std::make_unique<NamedThread>(m_Settings.m_ThreadName,
                                                        [this] { run(); }));
  }

  ~Impl() {
    {
      absl::MutexLock Lock(&m_Mutex);
      m_IsStopping = true;
    }
    m_Threads.clear();
    for (const Job &Each : m_Queue)
      finish(Each, {.m_Failure = PlatformErrorKind::Unavailable});
  }

  bool append(Job What) {
    absl::MutexLock Lock(&m_Mutex);
    if (m_IsStopping || m_Queue.size() >= m_Settings.m_MaxQueued)
      return false;
    m_Queue.push_back(std::move(What));
    return true;
  }

private:
  void run() {
    while (std::optional<Job> Next = takeJob())
      finish(*Next, attemptUntilDone(*Next));
  }

  /// Waits for a job. \returns nothing when the appender stops.
  std::optional<Job> takeJob() {
    absl::MutexLock Lock(&m_Mutex);
    auto HasWork = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex) {
      return m_IsStopping || !m_Queue.empty();
    };
    m_Mutex.Await(absl::Condition(&HasWork));
    if (m_IsStopping)
      return std::nullopt;
    Job Next = std::move(m_Queue.front());
    m_Queue.pop_front();
    return Next;
  }

  AppendOutcome attemptUntilDone(const Job &What) {
    AppendOutcome Outcome{.m_Failure = PlatformErrorKind::Unavailable};
    absl::Duration Backoff = m_Settings.m_MinBackoff;
    bool MayStand = false;
    while (m_Settings.m_Now() < What.m_Deadline) {
      if (MayStand && What.m_IsSettled && What.m_IsSettled())
        return {};
      Outcome = attempt(What);
      if (!Outcome.m_Failure)
        return Outcome;
      MayStand |= Outcome.m_Failure == PlatformErrorKind::OutcomeUnknown;
      if (Outcome.m_Failure == PlatformErrorKind::NoSpace)
        break; // More of the same would not make space.
      if (!pause(Backoff * (0.5 + m_Settings.m_Random() / 2)))
        break;
      Backoff = std::min(Backoff * 2, m_Settings.m_MaxBackoff);
    }
    if (MayStand)
      Outcome.m_Failure = PlatformErrorKind::OutcomeUnknown;
    return Outcome;
  }

  AppendOutcome attempt(const Job &What) {
    try {
      return {.m_Offset = m_Settings.m_Log.m_Append(m_Settings.m_Stream,
                                                    What.m_Payload)};
    } catch (const PlatformError &Error) {
      return {.m_Failure = Error.kind()};
    }
  }

  /// \returns false if the appender stops.
  bool pause(absl::Duration Length) {
    absl::MutexLock Lock(&m_Mutex);
    return !m_Mutex.AwaitWithTimeout(absl::Condition(&m_IsStopping), Length);
  }

  static void finish(const Job &What, const AppendOutcome &Outcome) {
    if (What.m_OnDone)
      What.m_OnDone(Outcome);
  }

  const Options m_Settings;
  absl::Mutex m_Mutex;
  std::deque<Job> m_Queue ABSL_GUARDED_BY(m_Mutex);
  bool m_IsStopping ABSL_GUARDED_BY(m_Mutex) = false;
  std::vector<std::unique_ptr<NamedThread>> m_Threads;
};

Appender::Appender(Options Settings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings))) {}

Appender::~Appender() = default;

bool Appender::append(Job What) { return m_Impl->append(std::move(What)); }

} // namespace knapweedloft::platform
