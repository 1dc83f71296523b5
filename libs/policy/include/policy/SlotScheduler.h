#ifndef KNAPWEEDLOFT_POLICY_SLOTSCHEDULER_H
#define KNAPWEEDLOFT_POLICY_SLOTSCHEDULER_H

#include "policy/ColdStartPacer.h"
#include "policy/RatePacer.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace knapweedloft::policy {

/// Schedules requests at the target side for a target with a known number of
/// slots: decides which run, which are queued and which are refused.
///
/// A target that is given more requests than it has slots answers slowly or not
/// at all, so it is never given more. Excess requests are queued here, by rank,
/// within a rank by the time that they name or else by arrival, and only while
/// they can still complete in time: a request whose turn would come too late is
/// refused as soon as that is known, not when its time is over. This serves
/// bursts, and targets that have become slow: as latencies grow, so do the
/// expected waits. Not thread-safe.
///
/// \code
///   Scheduler.setSlots(40);
///   if (Scheduler.offer(Job, Now) == SlotScheduler::Verdict::Run)
///     start(Job.m_Id);
///   ...
///   Scheduler.finish(Id, Latency, true, Now);
///   Scheduler.poll(Now, Run, Refused); // after each call, and periodically
/// \endcode
class SlotScheduler {
public:
  using JobId = std::uint64_t;
  /// Identifies jobs of similar latency, such as those of one route.
  using JobClass = std::uint32_t;

  enum class Verdict : std::uint8_t { Run, Queued, Refused };

  struct Options {
    /// Share of the slots to use. The others stay free because services slow
    /// down when their targets are nearly full.
    double m_UsableSlotShare = 0.9;
    std::size_t m_MaxQueued = 4096;
    /// Assumed while no run has been measured.
    absl::Duration m_InitialLatency = absl::Milliseconds(50);
    /// Weight of a new run in the moving average of latency.
    double m_Smoothing = 0.1;
    /// A cold target is started at this share of its rate, to allow for what
    /// the daemon sent it before a restart of its own.
    double m_ColdRateShare = 0.9;
  };

  struct Job {
    JobId m_Id = 0;
    JobClass m_Class = 0;
    std::uint32_t m_Rank = 0; ///< Lower ranks run first.
    /// The request is not worth running if its answer comes after this time.
    absl::Time m_CompleteBy;
    /// Jobs of a rank run in the order of this time, and then by arrival.
    absl::Time m_RunBefore = absl::InfiniteFuture();
  };

  /// A job that is refused after it was queued; it has not run.
  struct Refusal {
    JobId m_Id = 0;
    absl::Duration m_RetryAfter;
  };

  struct Load {
    std::uint32_t m_Limit = 0;
    std::uint32_t m_Running = 0;
    std::uint32_t m_Queued = 0;
    absl::Duration m_Latency; ///< Mean of recent runs, at the usual pace.
    /// Requests that run at once at the rate that the target takes, at most
    /// m_Limit.
    double m_UsableSlots = 0;
  };

  explicit SlotScheduler(const Options &Settings) : m_Settings(Settings) {}

  /// Sets the number of slots, which is 1 until then.
  void setSlots(std::uint32_t Slots) { m_Slots = Slots; }
  /// Marks the target as cold until \p Until; until then it can start
  /// \p PerSecond requests a second.
  void setCold(absl::Time Until, double PerSecond);
  [[nodiscard]] bool isCold(absl::Time Now) const {
    return m_ColdPacer.isCold(Now);
  }

  /// Limits the starts to \p PerSecond; 0: no limit.
  void setRateLimit(double PerSecond, absl::Time Now);
  [[nodiscard]] double rateLimit() const { return m_RatePacer.perSecond(); }

  /// Sets how long work takes at this moment, as a factor of the usual; 1 until
  /// then. Latencies are reported as at the usual pace.
  void setPace(double Pace);

  [[nodiscard]] Verdict offer(const Job &Next, absl::Time Now);
  /// Reports the end of a run. \p Latency is used for the estimates only if
  /// \p IsRepresentative.
  void finish(JobId Id, absl::Duration Latency, bool IsRepresentative);
  /// Removes a job from the queue. \returns false if it is not queued.
  bool cancel(JobId Id);
  /// Removes jobs from the queue: appends those to run now to \p Run and those
  /// refused to \p Refused.
  void poll(absl::Time Now, std::vector<JobId> &Run,
            std::vector<Refusal> &Refused);
  /// Refuses all queued jobs, because the target accepts no more work.
  void refuseAll(std::vector<Refusal> &Refused);

  [[nodiscard]] Load load() const;
  [[nodiscard]] std::uint32_t limit() const;
  [[nodiscard]] double usableSlots() const;
  /// \returns the expected queue wait of a job of \p Rank that is offered now.
  [[nodiscard]] absl::Duration expectedWait(std::uint32_t Rank,
                                            absl::Time Now) const;
  [[nodiscard]] absl::Duration expectedLatency(JobClass Class) const;

private:
  struct QueueKey {
    std::uint32_t m_Rank = 0;
    absl::Time m_RunBefore;
    std::uint64_t m_Arrival = 0;

    bool operator<(const QueueKey &Other) const {
      return std::tie(m_Rank, m_RunBefore, m_Arrival) <
             std::tie(Other.m_Rank, Other.m_RunBefore, Other.m_Arrival);
    }
  };

  [[nodiscard]] bool hasSlot() const { return m_Running.size() < limit(); }
  [[nodiscard]] absl::Duration meanLatency() const;
  /// \returns the expected wait behind \p Ahead queued jobs.
  [[nodiscard]] absl::Duration waitBehind(std::size_t Ahead,
                                          absl::Time Now) const;
  /// \returns the queued jobs that would run before \p Next.
  [[nodiscard]] std::size_t aheadOf(const Job &Next) const;
  [[nodiscard]] double startsPerSecond(absl::Time Now) const;
  /// Records a start if the cold start and the rate limit allow it. \returns
  /// whether they do.
  [[nodiscard]] bool tryPace(absl::Time Now);
  void start(const Job &Next);
  void refuseLate(absl::Time Now, std::vector<Refusal> &Refused);

  Options m_Settings;
  std::uint32_t m_Slots = 1;
  ColdStartPacer m_ColdPacer;
  double m_ColdStartsPerSecond = 0;
  RatePacer m_RatePacer;
  std::uint64_t m_Arrivals = 0;
  std::map<QueueKey, Job> m_Queue;
  absl::flat_hash_map<JobId, QueueKey> m_QueueKeys;
  absl::flat_hash_map<JobId, JobClass> m_Running;
  std::map<std::uint32_t, std::size_t> m_QueuedByRank;
  /// Moving averages, indexed by job class; 0: the class has never run.
  std::vector<double> m_LatencySeconds;
  double m_MeanLatencySeconds = 0; ///< Over all runs.
  double m_Pace = 1;
  /// When the queue is next searched for jobs that would complete too late.
  absl::Time m_NextQueueScan = absl::InfinitePast();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_SLOTSCHEDULER_H
