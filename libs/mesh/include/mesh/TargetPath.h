#ifndef KNAPWEEDLOFT_MESH_TARGETPATH_H
#define KNAPWEEDLOFT_MESH_TARGETPATH_H

#include "http/HttpResult.h"
#include "http/LoopClient.h"
#include "link/LinkNode.h"
#include "mesh/CatalogIndex.h"
#include "mesh/ColdStartMeter.h"
#include "mesh/ColdTime.h"
#include "mesh/ComponentLog.h"
#include "mesh/HeaderNames.h"
#include "mesh/TargetCounts.h"
#include "mesh/TargetLoadReports.h"
#include "mesh/TargetReport.h"
#include "mesh/TargetRollout.h"
#include "mesh/TargetState.h"
#include "model/ForwardId.h"
#include "model/Quarantine.h"
#include "model/Ran.h"
#include "model/RefusalReason.h"
#include "policy/AdmittedShareController.h"
#include "policy/RequestStanding.h"
#include "policy/SlotScheduler.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
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
    /// \returns how a request may be run. Null: all may.
    std::function<policy::RequestJudgement(model::Fingerprint, absl::Time Now)>
        m_Judge;
    /// The target crashed while it ran \p InFlight, the latest started first.
    /// Null: not reported.
    std::function<void(const std::string &Instance,
                       std::span<const model::Fingerprint> InFlight,
                       absl::Time Now)>
        m_OnCrash;
    /// The target completed a request. Null: not reported.
    std::function<void(model::Fingerprint, absl::Time Now)> m_OnCompleted;
    /// \returns the Unix time. Null: unknown.
    std::function<absl::Time()> m_UnixNow;
  };

  struct Options {
    model::Incarnation m_Self = 0;
    std::string m_DataCenter;
    std::string m_Service;
    model::Endpoint m_At; ///< Address of the local target.
    HeaderNames m_HeaderNames;
    bool m_IsRestart = false;
    /// Unix time at which this process started; infinitely late: unknown.
    absl::Time m_ProcessStart = absl::InfiniteFuture();
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
    /// The entry side has given up a request that has been on its way for so
    /// long: it ends links that are silent for this time.
    absl::Duration m_MaxForwardAge = absl::Milliseconds(1500);
    /// Connections that break within this time may have broken by one crash.
    absl::Duration m_BreakWindow = absl::Milliseconds(20);
    /// A crash that no health check confirms within this time is reported when
    /// the next instance of the target appears.
    absl::Duration m_CrashConfirmTimeout = absl::Milliseconds(300);
    /// The answers of a crash are held for this time after its report, so that
    /// the report reaches the other daemons before a retry does.
    absl::Duration m_CrashReportTime = absl::Milliseconds(20);
    /// Limits what the target gets while a version is rolled out. Null: none.
    TargetRollout *m_Rollout = nullptr;
    Hooks m_Hooks;
  };

  TargetPath(Options Settings, ComponentLog Log, absl::Time Now);

  void setCatalog(CatalogPtr Catalog, absl::Time Now);
  void setWithdrawn(bool IsWithdrawn, absl::Time Now);

  /// Handles a report of the target. A report that is Accepted takes effect
  /// before this returns.
  TargetState::ReportResult onReport(const TargetReport &Report,
                                     absl::Time Now);

  /// A peer remembers that \p Instance of the target was open for the service,
  /// by the word of an earlier process of this daemon.
  void onRemembered(const std::string &Instance, absl::Time Now);

  /// \param Age how long the message has been on its way at least.
  void onForward(link::PeerHandle From, wire::ForwardT &Message, absl::Time Now,
                 absl::Duration Age = absl::ZeroDuration());
  void onCancel(const model::ForwardId &Id, absl::Time Now);
  /// The link to an entry side is down.
  void onLinkLost(link::PeerHandle From, absl::Time Now);
  void tick(absl::Time Now);
  /// Accepts no more requests; those that run may finish.
  void stop(absl::Time Now);

  /// \returns the route of the running requests whose deadline is about \p End,
  /// if they are all of one route; else an empty string.
  [[nodiscard]] std::string routeRunningUntil(absl::Time End) const;
  /// \returns whether one of the requests that the target runs with the
  /// deadline \p End has changed the data center on its way.
  [[nodiscard]] bool hasCrossedUntil(absl::Time End) const;

  [[nodiscard]] const TargetState &state() const { return m_State; }
  [[nodiscard]] wire::Load load() const;
  /// Fills in what a roll-out needs to know of the target.
  void fillSample(policy::RolloutSample &Sample, absl::Time Now) const;
  /// \returns how long work takes at the target now, in percent of the usual;
  /// 0: the target names no pace.
  [[nodiscard]] std::uint16_t pacePercent() const { return m_PacePercent; }
  [[nodiscard]] const TargetLoadReports &loadReports() const {
    return m_Reports;
  }
  [[nodiscard]] bool isCold(absl::Time Now) const {
    return m_Scheduler.isCold(Now);
  }
  [[nodiscard]] std::size_t pending() const {
    return m_Pending.size() + m_HeldAnswers.size() +
           (m_Broken ? m_Broken->m_Answers.size() : 0);
  }
  [[nodiscard]] std::size_t queued() const {
    return m_Scheduler.load().m_Queued;
  }
  [[nodiscard]] const TargetCounts &counts() const { return m_Counts; }
  [[nodiscard]] const ColdStartMeter &coldStarts() const {
    return m_ColdStarts;
  }
  /// \returns the requests a second that the target takes; 0: it named none.
  [[nodiscard]] double rateLimit() const { return m_RateLimit.m_PerSecond; }

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
    absl::Duration m_StartClock; ///< Of TargetLoadReports.
    http::LoopClient::CallId m_Call = 0;
    std::string m_Instance; ///< To which it was sent.
  };

  [[nodiscard]] static bool isRunningUntil(const PendingRequest &Request,
                                           absl::Time End);

  /// The answer of a run that broke.
  struct HeldAnswer {
    PendingRequest m_Request;
    absl::Time m_ReleaseAt = absl::InfiniteFuture();
  };

  /// The rate that the target takes.
  struct RateLimit {
    double m_PerSecond = 0;                 ///< 0: it named none.
    absl::Time m_At = absl::InfinitePast(); ///< Of the latest answer.
    const char *m_Source = "target";
  };

  struct Run {
    model::Fingerprint m_Request = 0;
    absl::Time m_Started;
  };

  /// Runs that broke at about the same time, by a crash or not.
  struct BrokenRuns {
    absl::Time m_Since;
    unsigned m_Ticks = 0; ///< Since then.
    bool m_IsChecked = false;
    bool m_IsRefused = false; ///< The target refused a connection since then.
    std::string m_Instance;
    std::int64_t m_StartTimeMs = 0; ///< Of the instance; 0: unknown.
    std::vector<Run> m_InFlight;
    std::vector<HeldAnswer> m_Answers;
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
  void onIncompleteAnswer(PendingRequest Done, const http::HttpResult &Result,
                          absl::Time Now);
  void answer(const PendingRequest &Done, wire::AnswerT Answer);
  void refuse(link::PeerHandle To, const model::ForwardId &Id,
              model::RefusalReason Reason, model::Ran DidRun,
              absl::Duration RetryAfter, bool HasArrived = false);
  void refuseWaiting(JobId Id, model::RefusalReason Reason,
                     absl::Duration RetryAfter, absl::Time Now);
  void poll(absl::Time Now);
  void logAdmittedShare();

  // TargetCrashes.cpp
  /// \returns why the request may not be run now; None if it may.
  [[nodiscard]] model::RefusalReason quarantineOf(const wire::ForwardT &Message,
                                                  absl::Time Now) const;
  [[nodiscard]] policy::RequestJudgement judge(const wire::ForwardT &Message,
                                               absl::Time Now) const;
  void logQuarantine(const wire::ForwardT &Message, model::RefusalReason Reason,
                     absl::Time Now) const;
  /// Marks a run as the only one of a suspected request. \returns false after
  /// refusing it.
  [[nodiscard]] bool beginSuspect(JobId Id, absl::Time Now);
  void onRunBroken(PendingRequest Done, absl::Time Now);
  void judgeBrokenRuns(absl::Time Now);
  void onCheckOfBrokenRuns(http::Failure Failure, const std::string *Instance,
                           absl::Time Now);
  void concludeBrokenRuns(bool IsCrash, absl::Time Now);
  /// Another instance has taken the place of \p Former, which had not said
  /// that it leaves.
  void onTargetReplaced(const std::string &Former, absl::Time Now);
  void onRunUnanswered(const Run &Ended);
  void reportCrash(const std::string &Instance, std::vector<Run> InFlight,
                   absl::Time Now);
  void releaseAnswers(absl::Time Now);

  // TargetWords.cpp
  /// Takes the rate limit from an answer of the target, or its absence.
  void applyNamedLimit(const http::HttpResponse &Response,
                       const PendingRequest &Done, absl::Time Now);
  /// Takes from an answer of \p Instance whether it leaves.
  void applyNamedLeave(const http::HttpResponse &Response,
                       const std::string &Instance, absl::Time Now);
  /// The present instance has said in an answer that it leaves.
  void onNamedLeave(absl::Time Now);
  /// Takes over what an entry side remembers of the target.
  void adoptNotice(const wire::ForwardT &Message, absl::Time Now);
  /// \p At: when the target named it.
  void setRateLimit(double PerSecond, const char *Source, absl::Time At,
                    absl::Time Now);
  void forgetRateLimit(absl::Time Now);
  [[nodiscard]] std::unique_ptr<wire::TargetNoticeT> notice() const;

  // TargetChecks.cpp
  void onWrongInstance(const http::HttpResponse &Response, absl::Time Now);
  void closeQueue(absl::Time Now);
  /// Applies a change of availability or instance since the last call.
  void applyStateChange(absl::Time Now);
  /// Applies the cold time with the rate of the configuration.
  /// \param Source what has changed one of them.
  void applyColdTime(const char *Source, absl::Time Now);
  void logColdStarts(absl::Time Now);
  /// After a pause of the process, what became of the target is not known.
  void notePause(absl::Time Now);
  /// Takes the slots and the pace that the target names.
  void applyReportedLoad(const http::HttpResponse &Response, absl::Time Now);
  void updatePace(absl::Time Now);
  void beginHealthCheck(absl::Time Now);
  void onHealthCheckDone(const http::HttpResult &Result, absl::Time Began,
                         absl::Time Now);
  void applyCheckedColdTime(const http::HttpResponse &Response, bool IsHealthy,
                            absl::Time Began, absl::Time Now);
  /// Takes over what the roll-out says.
  void applyRollout(absl::Time Now);

  /// Retry-after for a target that accepts no requests now.
  static constexpr absl::Duration ClosedRetryAfter = absl::Milliseconds(500);

  Options m_Options;
  ComponentLog m_Log;
  CatalogPtr m_Catalog;
  TargetState m_State;
  /// As of the last applyStateChange(), like the instance.
  TargetAvailability m_AppliedAvailability;
  std::string m_AppliedInstance;
  std::int64_t m_AppliedStartTimeMs = 0;
  policy::SlotScheduler m_Scheduler;
  policy::AdmittedShareController m_ShareController;
  TargetLoadReports m_Reports;
  std::uint16_t m_PacePercent = 0; ///< Told to peers; 0: none.
  JobId m_LastJob = 0;
  absl::flat_hash_map<JobId, PendingRequest> m_Pending;
  absl::flat_hash_map<model::ForwardId, JobId> m_JobByForward;
  absl::flat_hash_map<std::string, policy::SlotScheduler::JobClass> m_Classes;
  std::vector<JobId> m_ToRun;
  std::vector<policy::SlotScheduler::Refusal> m_ToRefuse;
  absl::Time m_NextCheck;
  bool m_IsRamping = false; ///< The target was cold at the last tick.
  bool m_IsChecking = false;
  ColdTime m_ColdTime;
  absl::Time m_LastEvent;
  ColdStartMeter m_ColdStarts;
  absl::Time m_LoggedColdUntil = absl::InfinitePast();
  bool m_LoggedPaced = false;
  double m_LoggedAdmittedShare = 1;
  JobId m_SuspectJob = 0; ///< The running job of a suspected request; 0: none.
  std::optional<BrokenRuns> m_Broken;
  std::deque<HeldAnswer> m_HeldAnswers; ///< Of crashes that were reported.
  /// Runs that broke, timed out or were cancelled since the target last
  /// answered. They were in flight if another instance takes its place.
  std::deque<Run> m_Unanswered;
  RateLimit m_RateLimit;
  double m_ToldExposure = 1;     ///< Told to peers last.
  std::string m_UnreadableLimit; ///< Logged last.
  /// The present instance has answered this process.
  bool m_HasAnswered = false;
  TargetCounts m_Counts;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETPATH_H
