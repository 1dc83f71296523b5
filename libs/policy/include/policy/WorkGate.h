#ifndef KNAPWEEDLOFT_POLICY_WORKGATE_H
#define KNAPWEEDLOFT_POLICY_WORKGATE_H

#include "policy/ColdPacer.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace knapweedloft::policy {

/// Decides which requests a target with a known number of slots runs, which
/// wait and which are turned away.
///
/// A target that is given more than its slots answers slowly or not at all, so
/// it never is. What waits does so here, by rank and within a rank by arrival,
/// and only as long as it can still end by its bound: a request whose turn
/// would come too late is refused when that is seen, not when its time is
/// over. Answers a burst, and a target that has turned slow: the times of runs
/// grow, and with them what waiting would cost. Not thread-safe.
///
/// \code
///   Gate.setSlots(40);
///   if (Gate.offer(Job, Now) == WorkGate::Verdict::Run)
///     start(Job.m_Id);
///   ...
///   Gate.finish(Id, Latency, true, Now);
///   Gate.poll(Now, Run, Refused); // after each call, and now and then
/// \endcode
class WorkGate {
public:
  using JobId = std::uint64_t;
  /// Jobs whose runs take like times, such as those of one route.
  using Kind = std::uint32_t;

  enum class Verdict : std::uint8_t { Run, Queued, Refused };

  struct Options {
    /// Targets slow down when they are nearly full (a fact of the services).
    double m_SlotShare = 0.9;
    std::size_t m_MaxQueued = 4096;
    /// Assumed of a kind that has never run.
    absl::Duration m_FirstLatency = absl::Milliseconds(50);
    /// Weight of a new run's time against the older ones.
    double m_Smoothing = 0.1;
    /// A cold target gets this part of what it bears, for what the daemon
    /// before a restart has sent.
    double m_ColdPart = 0.9;
  };

  struct Job {
    JobId m_Id = 0;
    Kind m_Kind = 0;
    std::uint32_t m_Rank = 0; ///< The lower, the sooner.
    absl::Time m_EndBy;       ///< An answer later than this is not worth a run.
  };

  /// A job that waited and is refused; it has not run.
  struct Refusal {
    JobId m_Id = 0;
    absl::Duration m_RetryAfter;
  };

  struct Load {
    std::uint32_t m_Limit = 0;
    std::uint32_t m_Running = 0;
    std::uint32_t m_Queued = 0;
    absl::Duration m_Latency; ///< Mean time of recent runs.
  };

  explicit WorkGate(const Options &Settings) : m_Settings(Settings) {}

  /// Until it is called the target is taken to have one slot.
  void setSlots(std::uint32_t Slots) { m_Slots = Slots; }
  void setCold(absl::Time Until, double PerSecond);
  [[nodiscard]] bool isCold(absl::Time Now) const { return m_Cold.isCold(Now); }

  [[nodiscard]] Verdict offer(const Job &Next, absl::Time Now);
  /// A run ended. Its time counts only if \p IsTelling.
  void finish(JobId Id, absl::Duration Latency, bool IsTelling);
  /// Takes a job out of the queue. \returns false if it does not wait.
  bool cancel(JobId Id);
  /// Appends what is to run now to \p Run and what is refused to \p Refused.
  void poll(absl::Time Now, std::vector<JobId> &Run,
            std::vector<Refusal> &Refused);
  /// Refuses all that wait, since the target takes no more work.
  void refuseAll(std::vector<Refusal> &Refused);

  [[nodiscard]] Load load() const;
  [[nodiscard]] std::uint32_t limit() const;
  /// \returns how long a job of \p Rank that came now would wait.
  [[nodiscard]] absl::Duration waitOf(std::uint32_t Rank, absl::Time Now) const;
  [[nodiscard]] absl::Duration latencyOf(Kind Which) const;

private:
  using Place = std::pair<std::uint32_t, std::uint64_t>; ///< Rank, arrival.

  [[nodiscard]] bool hasSlot() const { return m_Running.size() < limit(); }
  [[nodiscard]] absl::Duration meanLatency() const;
  [[nodiscard]] double startsPerSecond(absl::Time Now) const;
  void start(const Job &Next);
  void dropLate(absl::Time Now, std::vector<Refusal> &Refused);

  Options m_Settings;
  std::uint32_t m_Slots = 1;
  ColdPacer m_Cold;
  double m_ColdPerSecond = 0;
  std::uint64_t m_Arrivals = 0;
  std::map<Place, Job> m_Queue;
  absl::flat_hash_map<JobId, Place> m_Places;
  absl::flat_hash_map<JobId, Kind> m_Running;
  std::map<std::uint32_t, std::size_t> m_QueuedByRank;
  std::vector<double> m_KindSeconds; ///< By kind; 0: has never run.
  double m_MeanSeconds = 0;          ///< Over all kinds as they come.
  absl::Time m_NextReview = absl::InfinitePast(); ///< Of the queue.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_WORKGATE_H
