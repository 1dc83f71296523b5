#ifndef KNAPWEEDLOFT_POLICY_CRASHEVIDENCE_H
#define KNAPWEEDLOFT_POLICY_CRASHEVIDENCE_H

#include "policy/RequestStanding.h"
#include "policy/TargetCrash.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::policy {

/// Finds the requests that crash their targets, from the crashes that all
/// daemons report.
///
/// A crash counts against each request that was in flight at it, unless a
/// target completed the same request afterwards or shortly before, or another
/// request explains it: one that was started later, and was in flight at
/// several crashes that no completion clears. Three crashes that count
/// quarantine a request, for a few seconds at first: a sound one that was in
/// flight beside the cause is cleared by the run that follows. Crashes after
/// all daemons know of the three lengthen the quarantine. Company of a
/// request may explain its crashes by mistake, so explained ones isolate it,
/// and none is explained once three are known to all daemons. All daemons that
/// hold the same reports conclude the same, in whatever order the reports
/// arrive. Not thread-safe.
///
/// \code
///   Evidence.addCrash(Crash, Now);
///   if (Evidence.judge(Request, Now).m_Standing ==
///       RequestStanding::Quarantined)
///     refuse();
/// \endcode
class CrashEvidence {
public:
  struct Options {
    unsigned m_SuspectCrashes = 2;
    unsigned m_QuarantineCrashes = 3;
    /// Quarantine by the number of retries spent (\see retriesSpent()); the
    /// last period holds for all others. Each end may cost a target, and three
    /// retries are allowed in all.
    std::array<absl::Duration, 4> m_QuarantinePeriods{
        absl::Seconds(5), absl::Minutes(30), absl::Hours(24),
        absl::Hours(20 * 24)};
    /// Crashes later than this after the third are retries and count whatever
    /// explains them: by then every daemon knows of the three.
    absl::Duration m_ExplanationPeriod = absl::Seconds(1);
    /// How long crashes count against a request that is not quarantined, from
    /// the latest on.
    absl::Duration m_EvidencePeriod = absl::Hours(1);
    /// How long the crashes count after the end of a quarantine.
    absl::Duration m_ProbationPeriod = absl::Hours(7 * 24);
    /// A request that a target completed no longer than this before a crash is
    /// not suspected.
    absl::Duration m_CompletionPeriod = absl::Seconds(2);
    /// Completions are remembered for this long, since reports of crashes may
    /// be late; those of suspects as long as these are suspected.
    absl::Duration m_CompletionRetention = absl::Minutes(1);
    std::size_t m_MaxCompletions = 8'192;
    std::size_t m_MaxInFlight = 512; ///< Of one crash; others are dropped.
    /// Over all crashes; those in flight at a single crash are dropped first.
    std::size_t m_MaxFingerprints = 16'384;
  };

  using Completion = std::pair<model::Fingerprint, absl::Time>;

  explicit CrashEvidence(const Options &Settings) : m_Settings(Settings) {}

  [[nodiscard]] RequestJudgement judge(model::Fingerprint Request,
                                       absl::Time Now) const;

  /// \returns those of \p InFlight that a crash at \p Now may be due to, in the
  /// same order: none that targets completed shortly before. If they are too
  /// many for a report, those that were in flight at no earlier crash are left
  /// out.
  [[nodiscard]] std::vector<model::Fingerprint>
  suspectsOf(std::span<const model::Fingerprint> InFlight,
             absl::Time Now) const;

  /// Adds a report. \returns whether it was new.
  bool addCrash(TargetCrash Crash, absl::Time Now);

  /// The target beside this daemon completed \p Request. \returns whether it
  /// clears a suspect, which the other daemons have to know.
  bool addOwnCompletion(model::Fingerprint Request, absl::Time Now);
  /// Adds what another daemon reported or an operator decided.
  void addCompletion(model::Fingerprint Request, absl::Time At);

  /// \returns the own completions that clear requests of \p Crash which would
  /// be suspects without them.
  [[nodiscard]] std::vector<Completion>
  completionsAgainst(const TargetCrash &Crash) const;

  /// \returns the completions of requests that were in flight at several
  /// crashes.
  [[nodiscard]] std::vector<Completion> completions() const;
  /// \returns the crashes of \p Request that no completion clears, oldest
  /// first.
  [[nodiscard]] std::vector<const TargetCrash *>
  crashesOf(model::Fingerprint Request, absl::Time Now) const;
  /// \returns the crashes that \p Daemon reported, oldest first.
  [[nodiscard]] std::vector<const TargetCrash *>
  crashesBy(const std::string &Daemon) const;
  /// \returns the requests whose standing is \p Standing.
  [[nodiscard]] std::vector<model::Fingerprint>
  requestsOf(RequestStanding Standing, absl::Time Now) const;

  [[nodiscard]] std::size_t crashes() const { return m_Crashes.size(); }
  [[nodiscard]] std::size_t fingerprints() const { return m_Fingerprints; }

  /// Drops what no longer counts.
  void expire(absl::Time Now);

private:
  using CrashNumber = std::uint64_t;

  struct CompletionTime {
    absl::Time m_At = absl::InfinitePast();
    bool m_IsOwn = false; ///< Seen by this daemon.
  };

  [[nodiscard]] bool isKnown(const TargetCrash &Crash) const;
  /// \returns whether no completion clears \p Request of \p Crash.
  [[nodiscard]] bool counts(const TargetCrash &Crash,
                            model::Fingerprint Request) const;
  /// \returns whether another request in flight explains \p Crash.
  [[nodiscard]] bool isExplained(const TargetCrash &Crash,
                                 model::Fingerprint Request,
                                 absl::Time Now) const;
  /// \returns how many of \p Crashes, those of \p Request, oldest first, are
  /// explained by other requests.
  [[nodiscard]] std::size_t
  explainedOf(const std::vector<const TargetCrash *> &Crashes,
              model::Fingerprint Request, absl::Time Now) const;
  [[nodiscard]] bool isExpired(const TargetCrash &Crash,
                               model::Fingerprint Request,
                               absl::Time Now) const;
  /// \returns how many of \p Crashes, oldest first, came after all daemons
  /// knew of those that quarantine a request.
  [[nodiscard]] std::size_t
  retriesSpent(const std::vector<const TargetCrash *> &Crashes) const;
  /// \returns when all daemons know of the crashes that quarantine a request.
  [[nodiscard]] absl::Time
  allKnowAt(const std::vector<const TargetCrash *> &Crashes) const;
  /// \returns the end of the quarantine that \p Crashes, enough for one and
  /// oldest first, lead to.
  [[nodiscard]] absl::Time
  quarantineEnd(const std::vector<const TargetCrash *> &Crashes) const;
  /// \returns whether \p Crashes, oldest first, no longer count at \p At.
  [[nodiscard]] bool
  isForgotten(const std::vector<const TargetCrash *> &Crashes,
              absl::Time At) const;
  /// \returns those of \p Crashes that count at \p Now, oldest first. It
  /// depends on their times only, not on when they were reported.
  [[nodiscard]] std::vector<const TargetCrash *>
  remembered(std::vector<const TargetCrash *> Crashes, absl::Time Now) const;
  [[nodiscard]] absl::Duration longestRetention() const;
  [[nodiscard]] std::vector<CrashNumber> oldestFirst() const;
  template <typename PredicateT>
  void dropIf(CrashNumber Number, PredicateT IsDropped);
  void limitFingerprints();
  void expireCompletions(absl::Time Now);

  Options m_Settings;
  CrashNumber m_LastCrash = 0;
  std::map<CrashNumber, TargetCrash> m_Crashes;
  absl::flat_hash_map<model::Fingerprint, std::vector<CrashNumber>> m_ByRequest;
  std::size_t m_Fingerprints = 0; ///< Over all crashes.
  absl::flat_hash_map<model::Fingerprint, CompletionTime> m_Completions;
  std::deque<Completion> m_RecentCompletions; ///< Oldest first.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_CRASHEVIDENCE_H
