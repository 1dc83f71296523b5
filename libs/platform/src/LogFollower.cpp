#include "platform/LogFollower.h"

#include "platform/NamedThread.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::platform {

class LogFollower::Impl {
public:
  explicit Impl(Options Settings) : m_Settings(std::move(Settings)) {}

  ~Impl() { stop(); }

  void start() {
    absl::MutexLock Lock(&m_Mutex);
    if (m_Thread)
      return;
    m_IsStopping = false;
    m_Thread = std::make_unique<NamedThread>(m_Settings.m_ThreadName,
                                             [this] { run(); });
  }

  void stop() {
    std::unique_ptr<NamedThread> Running;
    {
      absl::MutexLock Lock(&m_Mutex);
      m_IsStopping = true;
      Running = std::move(m_Thread);
    }
    // The destructor waits for the thread.
  }

  void setResting(bool IsResting) {
    absl::MutexLock Lock(&m_Mutex);
    m_IsResting = IsResting;
  }

  LogFreshness freshness() {
    absl::MutexLock Lock(&m_Mutex);
    return m_Freshness;
  }

private:
  void run() {
    while (awaitTurn())
      readOnce();
  }

  void readOnce() {
    const absl::Time SentAt = m_Settings.m_Now();
    try {
      const LogRead Read =
          m_Settings.m_Log.m_Read(m_Settings.m_Stream, m_Settings.m_Next(),
                                  m_Settings.m_MaxRecords, m_Settings.m_Wait);
      const LogFreshness Fresh = noteAnswer(Read.m_End, SentAt);
      m_Settings.m_OnRead(Read, Fresh);
      m_Backoff = absl::ZeroDuration();
      pauseIfHasty(Read, SentAt);
    } catch (const OffsetExpired &Expired) {
      noteAnswer(Expired.end(), SentAt);
      if (m_Settings.m_OnExpired)
        m_Settings.m_OnExpired(Expired);
      pause(m_Settings.m_MinBackoff);
    } catch (const PlatformError &) {
      const LogFreshness Fresh = noteFailure(SentAt);
      if (m_Settings.m_OnAway)
        m_Settings.m_OnAway(Fresh);
      backOff();
    }
  }

  LogFreshness noteAnswer(model::LogOffset End, absl::Time SentAt) {
    absl::MutexLock Lock(&m_Mutex);
    m_Freshness = {.m_End = End, .m_ReadAt = SentAt};
    return m_Freshness;
  }

  LogFreshness noteFailure(absl::Time SentAt) {
    absl::MutexLock Lock(&m_Mutex);
    if (!m_Freshness.m_UnavailableSince)
      m_Freshness.m_UnavailableSince = SentAt;
    return m_Freshness;
  }

  /// A service that does not wait for records must not be asked in a loop.
  void pauseIfHasty(const LogRead &Read, absl::Time SentAt) {
    const absl::Duration Took = m_Settings.m_Now() - SentAt;
    if (Read.m_Records.empty() && Took < m_Settings.m_MinBackoff)
      pause(m_Settings.m_MinBackoff - Took);
  }

  /// Doubles the pause up to its limit, with full jitter above the least.
  void backOff() {
    m_Backoff = std::clamp(m_Backoff * 2, m_Settings.m_MinBackoff,
                           m_Settings.m_MaxBackoff);
    const absl::Duration Spread = m_Backoff - m_Settings.m_MinBackoff;
    pause(m_Settings.m_MinBackoff + Spread * m_Settings.m_Random());
  }

  void pause(absl::Duration Length) {
    absl::MutexLock Lock(&m_Mutex);
    m_Mutex.AwaitWithTimeout(absl::Condition(&m_IsStopping), Length);
  }

  /// Waits out a rest. \returns whether to read on.
  bool awaitTurn() {
    absl::MutexLock Lock(&m_Mutex);
    m_Mutex.Await(absl::Condition(
        +[](Impl *Self) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Self->m_Mutex) {
          return Self->m_IsStopping || !Self->m_IsResting;
        },
        this));
    return !m_IsStopping;
  }

  const Options m_Settings;
  absl::Duration m_Backoff; ///< Of the follower's thread alone.
  absl::Mutex m_Mutex;
  LogFreshness m_Freshness ABSL_GUARDED_BY(m_Mutex);
  bool m_IsStopping ABSL_GUARDED_BY(m_Mutex) = false;
  bool m_IsResting ABSL_GUARDED_BY(m_Mutex) = false;
  std::unique_ptr<NamedThread> m_Thread ABSL_GUARDED_BY(m_Mutex);
};

LogFollower::LogFollower(Options Settings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings))) {}

LogFollower::~LogFollower() = default;

void LogFollower::start() { m_Impl->start(); }

void LogFollower::stop() { m_Impl->stop(); }

void LogFollower::setResting(bool IsResting) { m_Impl->setResting(IsResting); }

LogFreshness LogFollower::freshness() const { return m_Impl->freshness(); }

} // namespace knapweedloft::platform
