#ifndef KNAPWEEDLOFT_MESH_TARGETPATH_H
#define KNAPWEEDLOFT_MESH_TARGETPATH_H

#include "http/HttpResult.h"
#include "http/LoopClient.h"
#include "link/LinkNode.h"
#include "mesh/CatalogIndex.h"
#include "mesh/Dialect.h"
#include "mesh/Reporter.h"
#include "mesh/TargetCounts.h"
#include "mesh/TargetReport.h"
#include "mesh/TargetState.h"
#include "model/ForwardId.h"
#include "model/Ran.h"
#include "model/RefusalReason.h"
#include "policy/DemandGauge.h"
#include "policy/WorkGate.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// The side of a daemon that talks to the target beside it, as nobody else
/// does: whatever is true of the target, its slots, its cold start, its leaving
/// or the withdrawal of its data centre, is kept to here, however old the state
/// of an entry side is. What it refuses has not reached the target.
///
/// Belongs to one thread; the hooks may not call back into it before they
/// return.
class TargetPath {
public:
  struct Hooks {
    std::function<void(link::PeerHandle To, wire::AnswerT)> m_Answer;
    std::function<http::LoopClient::CallId(http::LoopClient::Call,
                                           http::LoopClient::Done)>
        m_Call;
    std::function<void(http::LoopClient::CallId)> m_CancelCall;
    /// The target opened or closed, or is another.
    std::function<void(absl::Time Now)> m_OnChange;
  };

  struct Options {
    model::Incarnation m_Self = 0;
    std::string m_DataCenter;
    std::string m_Service;
    model::Endpoint m_At; ///< Where the target listens.
    Dialect m_Dialect;
    bool m_IsRestart = false;
    policy::WorkGate::Options m_Gate;
    policy::DemandGauge::Options m_Demand;
    /// A health check that is not answered is over after this.
    absl::Duration m_CheckTimeout = absl::Milliseconds(500);
    /// Time between two health checks; they cost the target a slot each.
    absl::Duration m_CheckInterval = absl::Milliseconds(500);
    /// A target that has not reported so long after the start is asked.
    absl::Duration m_FirstCheckAfter = absl::Seconds(2);
    /// A request that may run once only goes over a connection that was in use
    /// so shortly before that the target will not have closed it.
    absl::Duration m_FreshFor = absl::Milliseconds(500);
    Hooks m_Hooks;
  };

  TargetPath(Options Settings, Reporter Log, absl::Time Now);

  void setCatalog(CatalogPtr Catalog);
  void setWithdrawn(bool IsWithdrawn, absl::Time Now);

  /// The target says how it is. \returns what was made of it; what is Taken
  /// binds from now on.
  TargetState::Reception onReport(const TargetReport &Report, absl::Time Now);

  void onForward(link::PeerHandle From, wire::ForwardT &Message,
                 absl::Time Now);
  void onCancel(const model::ForwardId &Id, absl::Time Now);
  /// The entry side behind a link is gone.
  void onLinkLost(link::PeerHandle From, absl::Time Now);
  void tick(absl::Time Now);
  /// Takes nothing more; what runs goes on.
  void stop(absl::Time Now);

  /// \returns the route of what runs with the deadline \p End, if all of that
  /// is of one route; else an empty name.
  [[nodiscard]] std::string routeRunningUntil(absl::Time End) const;

  [[nodiscard]] const TargetState &state() const { return m_State; }
  [[nodiscard]] wire::Load load() const;
  [[nodiscard]] bool isCold(absl::Time Now) const { return m_Gate.isCold(Now); }
  [[nodiscard]] std::size_t pending() const { return m_Runs.size(); }
  [[nodiscard]] std::size_t waiting() const { return m_Gate.load().m_Queued; }
  [[nodiscard]] const TargetCounts &counts() const { return m_Counts; }

private:
  using JobId = policy::WorkGate::JobId;

  struct Run {
    model::ForwardId m_Id;
    link::PeerHandle m_From;
    wire::ForwardT m_Message;
    absl::Time m_Arrived;
    absl::Time m_Deadline;
    bool m_IsStarted = false;
    bool m_IsCancelled = false; ///< Nobody waits for its answer.
    absl::Time m_Started;
    http::LoopClient::CallId m_Call = 0;
    std::string m_Instance; ///< That it was sent to.
  };

  // TargetPath.cpp
  [[nodiscard]] model::RefusalReason check(const wire::ForwardT &Message) const;
  [[nodiscard]] policy::WorkGate::Kind kindOf(const std::string &Route);
  void start(JobId Id, absl::Time Now);
  [[nodiscard]] std::string requestFor(Run &Next, absl::Time Now) const;
  void onResult(JobId Id, http::HttpResult Result, absl::Time Now);
  void onResponse(Run &Done, http::HttpResponse &Response, absl::Time Now);
  void onBroken(const Run &Done, http::Failure Failure, absl::Time Now);
  void answer(const Run &Done, wire::AnswerT Answer);
  void refuse(link::PeerHandle To, const model::ForwardId &Id,
              model::RefusalReason Reason, model::Ran DidRun,
              absl::Duration ComeBack, bool HasArrived = false);
  void refuseWaiting(JobId Id, model::RefusalReason Reason,
                     absl::Duration ComeBack, absl::Time Now);
  void poll(absl::Time Now);
  void noteDemand();

  // TargetChecks.cpp
  void onWrongInstance(const http::HttpResponse &Response, absl::Time Now);
  void closeQueue(absl::Time Now);
  /// Acts on the state if it is another than at the last call.
  void noteChange(absl::Time Now);
  void setCold(absl::Duration For, absl::Time Now);
  void readLoad(const http::HttpResponse &Response);
  void beginCheck(absl::Time Now);
  void onChecked(const http::HttpResult &Result, absl::Time Now);

  /// When to come back to a target that takes nothing now.
  static constexpr absl::Duration ClosedComeBack = absl::Milliseconds(500);

  Options m_Options;
  Reporter m_Log;
  CatalogPtr m_Catalog;
  TargetState m_State;
  TargetGate m_NotedGate; ///< With the instance: as of the last noteChange().
  std::string m_NotedInstance;
  policy::WorkGate m_Gate;
  policy::DemandGauge m_Demand;
  JobId m_LastJob = 0;
  absl::flat_hash_map<JobId, Run> m_Runs;
  absl::flat_hash_map<model::ForwardId, JobId> m_Jobs;
  absl::flat_hash_map<std::string, policy::WorkGate::Kind> m_Kinds;
  std::vector<JobId> m_ToRun;
  std::vector<policy::WorkGate::Refusal> m_ToRefuse;
  absl::Time m_NextCheck;
  bool m_IsChecking = false;
  bool m_KnowsCold = true;    ///< How long the target stays cold has been told.
  double m_NotedAdmitted = 1; ///< As it was last logged.
  TargetCounts m_Counts;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETPATH_H
