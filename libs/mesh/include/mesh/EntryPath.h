#ifndef KNAPWEEDLOFT_MESH_ENTRYPATH_H
#define KNAPWEEDLOFT_MESH_ENTRYPATH_H

#include "http/CallerConnectionCounts.h"
#include "http/ExchangeId.h"
#include "http/HttpMessage.h"
#include "http/ParsedMessage.h"
#include "link/generated/link_generated.h"
#include "mesh/CallObserver.h"
#include "mesh/CatalogIndex.h"
#include "mesh/ComponentLog.h"
#include "mesh/EntryAdmission.h"
#include "mesh/EntryCounts.h"
#include "mesh/HeaderNames.h"
#include "mesh/LeaveReports.h"
#include "mesh/PeerTarget.h"
#include "mesh/TargetNotices.h"
#include "mesh/VersionChoice.h"
#include "model/Quarantine.h"
#include "model/RefusalReason.h"
#include "policy/DataCenterSpill.h"
#include "policy/LeaveRule.h"
#include "policy/ReplicatedRateLimiter.h"
#include "policy/RequestStanding.h"
#include "policy/RetryBudget.h"
#include "policy/WeightedRoundRobin.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// The entry side of a daemon: authenticates callers by their keys, enforces
/// the rate limits of customers, chooses targets, retries within the retry
/// budget and answers each request exactly once.
///
/// A refusal is final and is sent at once. Belongs to one thread; the hooks
/// may not call back into it before they return.
class EntryPath {
public:
  struct Hooks {
    /// Sends a request to the daemon beside a target. \returns false if that
    /// is not possible.
    std::function<bool(const model::Member &To, wire::ForwardT)> m_Forward;
    std::function<void(const model::Member &To, wire::CancelT)> m_Cancel;
    /// Answers a caller. \p Lines are complete header lines.
    std::function<void(http::ExchangeId, int Status, std::string_view Lines,
                       std::string_view Body)>
        m_Answer;
    /// \returns the known targets of a service.
    std::function<std::vector<PeerTarget>(const std::string &Service)>
        m_TargetsOf;
    /// \returns the route of the requests that the local target runs with
    /// the deadline \p End, or an empty name if it is ambiguous.
    std::function<std::string(absl::Time End)> m_RouteRunningUntil;
    /// \returns whether the local target runs a request with the deadline
    /// \p End that has changed the data center. Null: it does not.
    std::function<bool(absl::Time End)> m_HasCrossedUntil;
    /// \returns how a request may be run. Null: all may.
    std::function<policy::RequestJudgement(model::Fingerprint, absl::Time Now)>
        m_Judge;
    /// \returns the crashes that a judgement follows from, for the log.
    std::function<std::string(model::Fingerprint, absl::Time Now)>
        m_DescribeCrashes;
  };

  struct Options {
    model::Member m_Self;
    std::string m_SelfAddress; ///< Calls of the local target come from here.
    HeaderNames m_HeaderNames;
    policy::RetryBudget::Options m_RetryBudget;
    policy::ReplicatedRateLimiter::Options m_Rates;
    policy::PriorityAdmission::Options m_PriorityAdmission;
    policy::LeaveRule m_Leave = policy::LeaveRule::Fixed;
    policy::DataCenterSpill::Options m_Spill; ///< With LeaveRule::Auto.
    /// Maximum number of target sides that may refuse a request as not run.
    unsigned m_MaxRefusals = 4;
    /// How long after the end of a request's time the entry side still waits
    /// for the answer of its target.
    absl::Duration m_AnswerGrace = absl::Milliseconds(30);
    std::uint64_t m_Seed = 0; ///< Of random choices; 0: drawn.
    Hooks m_Hooks;
  };

  EntryPath(Options Settings, ComponentLog Log);
  EntryPath(const EntryPath &) = delete;
  EntryPath &operator=(const EntryPath &) = delete;

  void setCatalog(CatalogPtr Catalog, absl::Time Now);
  /// Targets were added, removed, opened or closed.
  void onTargetsChanged();
  /// Load feedback from the target side of a daemon. \p PacePercent: of the
  /// target; 0: it names none.
  void onLoad(const std::string &Service, model::Incarnation Daemon,
              const wire::Load &Load, absl::Time Now,
              std::uint16_t PacePercent = 0);

  /// A request was received from the IP address \p From.
  void onRequest(http::ExchangeId Id, http::ParsedMessage Message,
                 const std::string &From, absl::Time Now);
  /// The connection of a request was closed before its answer: the caller
  /// disconnected, or the server closed it.
  void onConnectionClosed(http::ExchangeId Id, http::CallerConnectionEnd Why,
                          absl::Time Now);
  void onAnswer(wire::AnswerT &Answer, absl::Time Now);
  /// The link to a daemon is down: the outcome of requests sent there is
  /// unknown.
  void onDaemonLost(model::Incarnation Daemon, absl::Time Now);
  /// Ends requests whose time, with the answer grace, is over.
  void tick(absl::Time Now);

  /// Refuses new requests from \p IntakeEnd on, except calls of the local
  /// target whose time is over by \p End, when endAll() follows.
  void stopAfter(absl::Time IntakeEnd, absl::Time End) {
    m_IntakeEnd = IntakeEnd;
    m_StopEnd = End;
  }
  /// Answers all requests that are under way. What is at a target goes on there
  /// until the link to it ends.
  void endAll(absl::Time Now);

  /// Updates the edges of the local target in the call graph. \returns whether
  /// they changed.
  bool updateCalls() { return m_CallObserver.update(); }
  [[nodiscard]] const std::vector<CallEdge> &calls() const {
    return m_CallObserver.edges();
  }

  [[nodiscard]] policy::ReplicatedRateLimiter &rates() { return m_Rates; }
  [[nodiscard]] std::size_t pending() const { return m_Pending.size(); }
  [[nodiscard]] const EntryCounts &counts() const { return m_Counts; }
  [[nodiscard]] const LeaveReports &leaving() const { return m_Leaving; }

private:
  using PendingId = std::uint64_t;

  /// A request that has not been answered yet.
  struct Pending {
    http::ExchangeId m_Exchange;
    http::ParsedMessage m_Message;
    CatalogPtr m_Catalog; ///< Keeps the route and the customer alive.
    const CatalogRoute *m_Route = nullptr;
    const CatalogCustomer *m_Customer = nullptr;
    std::string m_CallId;
    model::Fingerprint m_Fingerprint = 0;
    std::string m_Service;
    bool m_IsCall = false;     ///< Made by the local target while it runs one.
    bool m_HasCrossed = false; ///< It is part of work that left its origin.
    std::size_t m_Bytes = 0;
    std::uint32_t m_Rank = 0;
    absl::Time m_Received;
    absl::Time m_Deadline;   ///< Until when the caller waits.
    absl::Time m_CompleteBy; ///< The earlier of deadline and route timeout.
    absl::Time m_TimeoutAt;
    unsigned m_Arrivals = 0; ///< Times that it reached a target.
    unsigned m_Refusals = 0; ///< By target sides, as not run.
    bool m_HasToken = false; ///< Has taken from the customer's rate.
    bool m_MayHaveRun = false;
    std::vector<policy::TargetHandle> m_Excluded; ///< Not to be tried again.
    bool m_IsSent = false;
    std::uint64_t m_Sequence = 0; ///< Of the forward in flight.
    policy::TargetHandle m_Target;
    model::Member m_To; ///< Daemon beside m_Target.
    absl::Time m_Sent;
  };

  struct ServiceState {
    VersionChoice m_Chooser;
    policy::RetryBudget m_RetryBudget;
    std::uint64_t m_TargetsVersion = 0;
    absl::flat_hash_map<model::Incarnation, PeerTarget> m_Targets;
  };

  /// Why a request is refused; None if it is not.
  struct Refusal {
    model::RefusalReason m_Reason = model::RefusalReason::None;
    absl::Duration m_RetryAfter; ///< Hint: when there may be capacity.
  };

  // EntryPath.cpp
  [[nodiscard]] Refusal identify(Pending &Request, const std::string &From,
                                 absl::Time Now);
  [[nodiscard]] Refusal identifyCustomer(Pending &Request) const;
  void setTimes(Pending &Request) const;
  [[nodiscard]] bool isTooLate(const Pending &Request, absl::Time Now) const;
  [[nodiscard]] std::string chooseService(const CatalogRoute &Route);
  ServiceState &serviceOf(const std::string &Name, absl::Time Now);
  /// \returns the known targets of a service; those that leave are closed.
  [[nodiscard]] std::vector<PeerTarget>
  targetsOf(const std::string &Service) const;
  void refreshTargets(const std::string &Name, ServiceState &State,
                      absl::Time Now);
  [[nodiscard]] bool isAdmitted(const Pending &Request, absl::Time Now);
  void dispatch(PendingId Id, absl::Time Now);
  /// Sends a request that is isolated or on probation to the one target that
  /// may run it.
  void dispatchToOneTarget(PendingId Id, absl::Time Now);
  [[nodiscard]] policy::RequestJudgement judge(const Pending &Request,
                                               absl::Time Now) const;
  [[nodiscard]] bool forward(PendingId Id, Pending &Request,
                             ServiceState &State, policy::TargetHandle Target,
                             absl::Time Now);
  [[nodiscard]] wire::ForwardT makeForward(const Pending &Request,
                                           const PeerTarget &To,
                                           absl::Time Now) const;
  [[nodiscard]] std::string headerLinesFor(const Pending &Request) const;
  void onTimeout(PendingId Id, absl::Time Now);
  [[nodiscard]] policy::TargetChooser::Options chooserOptions() const;
  [[nodiscard]] bool isLeaving(const model::Member &To) const {
    return To.m_DataCenter != m_Options.m_Self.m_DataCenter;
  }
  void setTimeout(PendingId Id, Pending &Request, absl::Time When);
  void forget(PendingId Id);

  // EntryAnswers.cpp
  void onTargetAnswer(PendingId Id, wire::AnswerT &Answer, absl::Time Now);
  /// Takes in what the way to a target and back cost.
  void noteTransfer(const Pending &Request, ServiceState &State,
                    const wire::AnswerT &Answer, absl::Time Now);
  void onTargetFailure(PendingId Id, wire::AnswerT *Answer, absl::Time Now);
  [[nodiscard]] bool mayRetry(const Pending &Request, bool DidNotRun,
                              absl::Time Now);
  void retry(PendingId Id, const char *Cause, absl::Time Now);
  void relay(PendingId Id, wire::AnswerT &Answer, absl::Time Now);
  void end(PendingId Id, const Refusal &Why, absl::Time Now);
  /// \returns a refusal for good of a request that crashed a target after all
  /// knew of its crashes, and one with a time to come back of any other.
  [[nodiscard]] Refusal quarantineRefusal(const Pending &Request,
                                          absl::Time Now) const;
  void endQuarantined(PendingId Id, absl::Time Now);
  void refuse(http::ExchangeId Id, const Pending &Refused, const Refusal &Why,
              absl::Time Now);
  void logQuarantined(const Pending &Refused, absl::Time Now) const;
  void countOutcome(const Pending &Request, std::string_view Outcome);
  [[nodiscard]] absl::Duration retryAfter(const Pending &Refused,
                                          absl::Duration Hint, absl::Time Now);

  Options m_Options;
  ComponentLog m_Log;
  CatalogPtr m_Catalog;
  policy::ReplicatedRateLimiter m_Rates;
  std::mt19937_64 m_Random;
  PendingId m_LastId = 0;
  std::uint64_t m_LastSequence = 0;
  std::uint64_t m_TargetsVersion = 1;
  absl::node_hash_map<PendingId, Pending> m_Pending;
  absl::flat_hash_map<http::ExchangeId, PendingId> m_ByExchange;
  absl::flat_hash_map<std::uint64_t, PendingId> m_BySequence;
  absl::node_hash_map<std::string, ServiceState> m_Services;
  /// By route.
  absl::flat_hash_map<std::string, policy::WeightedRoundRobin> m_RoundRobins;
  std::set<std::pair<absl::Time, PendingId>> m_Timeouts;
  EntryAdmission m_Admission;
  CallObserver m_CallObserver{{}};
  TargetNotices m_Notices;
  absl::Time m_IntakeEnd = absl::InfiniteFuture();
  absl::Time m_StopEnd = absl::InfiniteFuture();
  EntryCounts m_Counts;
  LeaveReports m_Leaving;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ENTRYPATH_H
