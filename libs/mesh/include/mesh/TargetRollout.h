#ifndef KNAPWEEDLOFT_MESH_TARGETROLLOUT_H
#define KNAPWEEDLOFT_MESH_TARGETROLLOUT_H

#include "http/HttpResult.h"
#include "link/generated/link_generated.h"
#include "mesh/HeaderNames.h"
#include "mesh/RolloutOrder.h"
#include "mesh/TargetReport.h"
#include "mesh/TargetState.h"
#include "policy/RolloutGate.h"
#include "policy/RolloutSample.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// The part of a target side in the roll-out of a version: limits what the
/// local target gets, and counts what it answers.
///
/// What the gate refuses has not been run. Counts begin with the order, or with
/// the life of the daemon if that is later. Belongs to the thread of the
/// TargetPath that calls it.
class TargetRollout {
public:
  using JobId = std::uint64_t;

  struct Options {
    model::Incarnation m_Self = 0;
    HeaderNames m_HeaderNames;
    policy::RolloutGate::Options m_Gate;
    /// A request that has run for this many times the usual duration of its
    /// route is overdue.
    double m_OverdueFactor = 3;
    /// Answers from which the usual duration of a route is known.
    std::uint64_t m_MinAnswers = 8;
    /// Until then: a request that has run for this long is overdue.
    absl::Duration m_OverdueAfter = absl::Seconds(2);
  };

  explicit TargetRollout(Options Settings);

  /// The operator's records have been read once, from the store or a peer.
  void onRecordsRead() { m_HasRecords = true; }
  void setOrder(const RolloutOrderId &Order, absl::Time Now);
  void onNews(const wire::RolloutNewsT &News, absl::Time Now);
  void onReport(const TargetReport &Report, absl::Time Now);
  /// \p Instance runs now; if it has not reported, its version is unknown.
  void onInstance(const std::string &Instance);

  /// \returns why the target is closed, if a roll-out closes it.
  [[nodiscard]] RolloutHold hold(absl::Time Now) const;
  /// \returns the share of the service's requests for all targets of this
  /// version.
  [[nodiscard]] double exposure(absl::Time Now) const;
  [[nodiscard]] const std::string &version() const { return m_Version; }

  /// \returns whether the target may get a request now; counts it.
  [[nodiscard]] bool tryAccept(JobId Id, absl::Time Now);
  /// An accepted request did not reach the target.
  void putBack(JobId Id);
  void onStarted(JobId Id, const std::string &Route, absl::Time Now);
  void onResult(JobId Id, const http::HttpResult &Result, absl::Time Now);
  /// A request was given up, maybe while it ran.
  void onCancelled(JobId Id);

  /// Fills in what is counted here.
  void fillSample(policy::RolloutSample &Sample, absl::Time Now) const;
  [[nodiscard]] const policy::RolloutGate &gate() const { return m_Gate; }
  /// \returns the requests that the gate refused.
  [[nodiscard]] std::uint64_t refused() const { return m_Refused; }

private:
  enum class RunVerdict : std::uint8_t { Success, Failure, NotRun, NotSent };

  struct Job {
    std::string m_Route;
    absl::Time m_Started = absl::InfiniteFuture();
  };

  struct RouteTotals {
    policy::RouteCounts m_Counts;
    absl::Duration m_Sum; ///< Of the durations of successes.
  };

  [[nodiscard]] RunVerdict verdictOf(const http::HttpResult &Result) const;
  /// Tells the gate which version the target has, if that changed.
  void applyVersion(absl::Time Now);
  void applyNews(absl::Time Now);
  [[nodiscard]] bool isOverdue(const Job &Running, absl::Time Now) const;

  Options m_Options;
  policy::RolloutGate m_Gate;
  bool m_HasRecords = false;
  bool m_HasReport = false; ///< Of the present instance.
  std::string m_Instance;
  std::string m_Version;
  std::optional<RolloutOrderId> m_Order;
  std::optional<wire::RolloutNewsT> m_News; ///< The newest for the order.
  absl::Time m_NewsSent;
  absl::flat_hash_map<JobId, Job> m_Jobs; ///< Accepted since the order.
  absl::btree_map<std::string, RouteTotals> m_Routes;
  std::uint64_t m_Refused = 0;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETROLLOUT_H
