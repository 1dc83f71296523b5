#ifndef KNAPWEEDLOFT_POLICY_ROLLOUTPLAN_H
#define KNAPWEEDLOFT_POLICY_ROLLOUTPLAN_H

#include "policy/RolloutPhase.h"
#include "policy/RolloutSample.h"
#include "policy/VersionJudge.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace knapweedloft::policy {

/// Decides the course of one roll-out, from the samples of all targets of its
/// service: how many requests the new version may get, when it takes over, and
/// whether it is completed or rolled back.
///
/// The new version gets a small share until shortly before the deadline, so
/// that one that turns bad late is noticed, and takes over in steps just before
/// it. The number of requests that its targets may be given is absolute and
/// follows the requests that are known to have reached the service, so it
/// bounds the exposure over the whole fleet whoever sends, and two daemons that
/// decide at once do not add up. Not thread-safe.
///
/// \code
///   RolloutPlan Plan(Settings, Order, RolloutPhase::None, Now);
///   Plan.onSample(Sample, Now);
///   RolloutPlan::Command Next = Plan.update(Now); // several times a second
/// \endcode
class RolloutPlan {
public:
  struct Options {
    /// Share of a service's requests, from the order to its deadline, that a
    /// bad version may get, and number of requests beyond it.
    double m_ExposureShare = 0.1;
    double m_ExposureSlack = 50;
    /// A bad version gets no request later than this after its 50th bad answer.
    absl::Duration m_RollbackTime = absl::Seconds(5);
    /// Odds, to one, that the version is bad from which it is rolled back at
    /// the end: a good version that is late does less harm than a bad one that
    /// is completed.
    double m_EndConfidence = 10;
    VersionJudge::Options m_Judge;
  };

  struct Order {
    std::string m_Service;
    std::string m_TargetVersion;
    absl::Time m_Received;
    absl::Duration m_Duration; ///< From m_Received to the deadline.
  };

  /// What the daemons of the service are to do.
  struct Command {
    RolloutPhase m_Phase = RolloutPhase::None;
    /// Share of the requests that entry sides send to the new version.
    double m_Share = 0;
    /// Requests that each target of the new version may have been given in all,
    /// by the name of its daemon.
    absl::btree_map<std::string, std::uint64_t> m_Allowances;
    std::string m_Reason; ///< For the log, when the phase changes.
  };

  /// \p Adopted is the phase that a former decider reached.
  RolloutPlan(const Options &Settings, Order Ordered, RolloutPhase Adopted,
              absl::Time Now);
  ~RolloutPlan();
  RolloutPlan(RolloutPlan &&) noexcept;
  RolloutPlan &operator=(RolloutPlan &&) noexcept;

  void onSample(const RolloutSample &Sample, absl::Time Now);
  /// A daemon of the service is gone.
  void onDaemonLost(const std::string &Daemon, absl::Time Now);
  /// \returns the command in force from now on. Once the phase is final, it
  /// does not change.
  const Command &update(absl::Time Now);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ROLLOUTPLAN_H
