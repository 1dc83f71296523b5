#ifndef KNAPWEEDLOFT_MESH_TARGETPATH_H
#define KNAPWEEDLOFT_MESH_TARGETPATH_H

#include "http/HttpResult.h"
#include "http/LoopClient.h"
#include "link/LinkNode.h"
#include "mesh/CatalogIndex.h"
#include "mesh/ComponentLog.h"
#include "mesh/HeaderNames.h"
#include "mesh/TargetCounts.h"
#include "mesh/TargetReport.h"
#include "mesh/TargetState.h"
#include "model/ForwardId.h"
#include "model/Ran.h"
#include "model/RefusalReason.h"
#include "policy/AdmittedShareController.h"
#include "policy/SlotScheduler.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// The target side of a daemon: queues forwarded requests and sends them to the
/// local target.
///
/// No other daemon sends requests to this target. Its slots, its cold start,
/// its leaving and the withdrawal of its data center are therefore enforced
/// here, however stale the state of an entry side is. A request that is refused
/// here has not reached the target.
///
/// Not thread-safe. Hooks must not call back into the object before they
/// return.
class TargetPath {
public:
  struct Hooks {
    std::function<void(link::PeerHandle To, wire::AnswerT)> m_Answer;
    std::function<http::LoopClient::CallId(http::LoopClient::Call,
                                           http::LoopClient::Done)>
        m_Call;
    std::function<void(http::LoopClient::CallId)> m_CancelCall;
    /// The target's availability or instance changed.
    std::function<void(absl::Time Now)> m_OnChange;
  };

  struct Options {
    model::Incarnation m_Self = 0;
    std::string m_DataCenter;
    std::string m_Service;
    model::Endpoint m_At; ///< Address of the local target.
    HeaderNames m_HeaderNames;
    bool m_IsRestart = false;
    policy::SlotScheduler::Options m_Scheduler;
    policy::AdmittedShareController::Options m_ShareController;
    /// A health check without an answer fails after this time.
    absl::Duration m_CheckTimeout = absl::Milliseconds(500);
    /// Time between two health checks; each takes a slot of the target.
    absl::Duration m_CheckInterval = absl::Milliseconds(500);
    /// A target that has not reported this long after the start is checked.
    absl::Duration m_FirstCheckDelay = absl::Seconds(2);
    /// A request that is not idempotent reuses a connection only if it was
    /// idle for no longer than this, so that the target will not have closed
    /// it.
    absl::Duration m_MaxReuseIdleTime = absl::Milliseconds(500);
    Hooks m_Hooks;
  };

  TargetPath(Options Settings, ComponentLog Log, absl::Time Now);

  void setCatalog(CatalogPtr Catalog);
  void setWithdrawn(bool IsWithdrawn, absl::Time Now);

  /// Handles a report of the target. A report that is Accepted takes effect
  /// before this returns.
  TargetState::ReportResult onReport(const TargetReport &Report,
                                     absl::Time Now);

  void onForward(link::PeerHandle From, wire::ForwardT &Message,
                 absl::Time Now);
  void onCancel(const model::ForwardId &Id, absl::Time Now);
  /// The link to an entry side is down.
  void onLinkLost(link::PeerHandle From, absl::Time Now);
  void tick(absl::Time Now);
  /// Accepts no more requests; those that run may finish.
  void stop(absl::Time Now);

  /// \returns the route of the running requests whose deadline is about \p End,
  /// if they are all of one route; else an empty string.
  [[nodiscard]] std::string routeRunningUntil(absl::Time End) const;

  [[nodiscard]] const TargetState &state() const { return m_State; }
  [[nodiscard]] wire::Load load() const;
  [[nodiscard]] bool isCold(absl::Time Now) const {
    return m_Scheduler.isCold(Now);
  }
  [[nodiscard]] std::size_t pending() const { return m_Pending.size(); }
  [[nodiscard]] std::size_t queued() const {
    return m_Scheduler.load().m_Queued;
  }
  [[nodiscard]] const TargetCounts &counts() const { return m_Counts; }

private:
  using JobId = policy::SlotScheduler::JobId;

  struct PendingRequest {
    model::ForwardId m_Id;
    link::PeerHandle m_From;
    wire::ForwardT m_Message;
    absl::Time m_Arrived;
    absl::Time m_Deadline;
    bool m_IsStarted = false;
    bool m_IsCancelled = false; ///< No entry side waits for the answer.
    absl::Time m_Started;
    http::LoopClient::CallId m_Call = 0;
    std::string m_Instance; ///< To which it was sent.
  };

  // TargetPath.cpp
  [[nodiscard]] model::RefusalReason
  validate(const wire::ForwardT &Message) const;
  [[nodiscard]] policy::SlotScheduler::JobClass
  classOf(const std::string &Route);
  void start(JobId Id, absl::Time Now);
  [[nodiscard]] std::string requestFor(PendingRequest &Next,
                                       absl::Time Now) const;
  void onResult(JobId Id, http::HttpResult Result, absl::Time Now);
  void onResponse(PendingRequest &Done, http::HttpResponse &Response,
                  absl::Time Now);
  void onIncompleteAnswer(const PendingRequest &Done, http::Failure Failure,
                          absl::Time Now);
  void answer(const PendingRequest &Done, wire::AnswerT Answer);
  void refuse(link::PeerHandle To, const model::ForwardId &Id,
              model::RefusalReason Reason, model::Ran DidRun,
              absl::Duration RetryAfter, bool HasArrived = false);
  void refuseWaiting(JobId Id, model::RefusalReason Reason,
                     absl::Duration RetryAfter, absl::Time Now);
  void poll(absl::Time Now);
  void logAdmittedShare();

  // TargetChecks.cpp
  void onWrongInstance(const http::HttpResponse &Response, absl::Time Now);
  void closeQueue(absl::Time Now);
  /// Applies a change of availability or instance since the last call.
  void applyStateChange(absl::Time Now);
  void setCold(absl::Duration For, absl::Time Now);
  void applyReportedSlots(const http::HttpResponse &Response);
  void beginHealthCheck(absl::Time Now);
  void onHealthCheckDone(const http::HttpResult &Result, absl::Time Now);

  /// Retry-after for a target that accepts no requests now.
  static constexpr absl::Duration ClosedRetryAfter = absl::Milliseconds(500);

  Options m_Options;
  ComponentLog m_Log;
  CatalogPtr m_Catalog;
  TargetState m_State;
  /// As of the last applyStateChange(), like the instance.
  TargetAvailability m_AppliedAvailability;
  std::string m_AppliedInstance;
  policy::SlotScheduler m_Scheduler;
  policy::AdmittedShareController m_ShareController;
  JobId m_LastJob = 0;
  absl::flat_hash_map<JobId, PendingRequest> m_Pending;
  absl::flat_hash_map<model::ForwardId, JobId> m_JobByForward;
  absl::flat_hash_map<std::string, policy::SlotScheduler::JobClass> m_Classes;
  std::vector<JobId> m_ToRun;
  std::vector<policy::SlotScheduler::Refusal> m_ToRefuse;
  absl::Time m_NextCheck;
  bool m_IsChecking = false;
  bool m_IsColdTimeKnown = true; ///< The target reported its cold time.
  double m_LoggedAdmittedShare = 1;
  TargetCounts m_Counts;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETPATH_H
