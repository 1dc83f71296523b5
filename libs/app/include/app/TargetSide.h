#ifndef KNAPWEEDLOFT_APP_TARGETSIDE_H
#define KNAPWEEDLOFT_APP_TARGETSIDE_H

#include "app/Announcement.h"
#include "app/ContextTable.h"
#include "app/CutBatch.h"
#include "app/DedupeHome.h"
#include "app/WireConvert.h"
#include "http/HttpClient.h"
#include "link/LinkNode.h"
#include "model/Ran.h"
#include "model/RefusalReason.h"
#include "policy/Admission.h"
#include "policy/ForwardLedger.h"
#include "policy/PoisonRequestDetector.h"
#include "state/Snapshot.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// The side of a daemon that talks to the target beside it: admits forwards,
/// runs them over loopback HTTP and answers each exactly once.
///
/// Not thread-safe: it belongs to the link thread. The hooks may not call back
/// into it before they return.
class TargetSide {
public:
  struct Hooks {
    std::function<void(link::PeerHandle To, wire::AnswerT)> m_Answer;
    std::function<void(link::PeerHandle To, wire::FateAnswerT)> m_Fate;
    using Done = std::function<void(http::HttpResult, absl::Time Now)>;
    /// Calls the target. The callback must arrive on the link thread.
    std::function<http::HttpClient::CallId(
        const std::string &Base, http::HttpRequest, absl::Duration, Done)>
        m_Call;
    std::function<void(http::HttpClient::CallId)> m_CancelCall;
    /// Tells every other member of the service. \returns to how many it went;
    /// each is to acknowledge. May be null, as the next.
    std::function<std::size_t(const wire::SuspectsT &)> m_TellSuspects;
    /// Publishes a quarantine.
    std::function<void(model::Fingerprint)> m_PutAside;
    /// \returns the monotonic clock of the daemon behind a link, never ahead of
    /// the true one; infinitely far ahead if it is not known.
    std::function<absl::Time(link::PeerHandle From, absl::Time Now)>
        m_SenderNow;
    /// Asks for a tick() at \p When or soon after.
    std::function<void(absl::Time When)> m_Wake;
  };

  struct Options {
    model::Incarnation m_Self = 0;
    policy::Admission::Options m_Admission;
    policy::ForwardLedger::Options m_Ledger;
    policy::PoisonRequestDetector::Options m_Deaths;
    DedupeHome::Options m_Dedupe;
    Hooks m_Hooks;
  };

  TargetSide(Options Settings, ContextTable &Contexts, absl::Time Now);

  /// The target told of itself. A new instance starts cold.
  void onAnnouncement(const Announcement &News, absl::Time Now);

  void onForward(link::PeerHandle From, wire::ForwardT &Message,
                 const state::Snapshot &State, absl::Time Now);
  void onCancel(const model::ForwardId &Id, absl::Time Now);
  /// The entry side asks what became of a forward. After "not run" it never
  /// runs; a run's answer goes to \p From from now on.
  void onQuery(link::PeerHandle From, const wire::FateQueryT &Query,
               absl::Time Now);
  /// What another daemon of the service learned of a death.
  void onSuspects(const wire::SuspectsT &News, absl::Time Now);
  void onSuspectsAck(std::uint64_t Sequence, absl::Time Now);
  void tick(absl::Time Now);

  /// Refuses new forwards from now on; those admitted go on.
  void stopIntake();

  [[nodiscard]] std::size_t pending() const {
    return m_Runs.size() + m_Starting.size() + m_SuspectQueue.size();
  }
  [[nodiscard]] DedupeHome &dedupe() { return m_Dedupe; }
  [[nodiscard]] wire::Load load(absl::Time Now) const;

private:
  struct Run {
    model::ForwardId m_Id;
    link::PeerHandle m_From;
    wire::ForwardT m_Message;
    absl::Time m_Deadline;
    float m_Weight = 1; ///< The customer's rate: its share among customers.
    ContextId m_Context{};
    http::HttpClient::CallId m_Call = 0;
    absl::Time m_Started = absl::InfinitePast(); ///< Before: it is queued.
    std::uint16_t m_AttemptsLeft = 0;
    bool m_HasFailedBelow = false;
  };

  /// A copy of a request with an idempotency key, while the first runs.
  struct Waiter {
    model::ForwardId m_Id;
    link::PeerHandle m_From;
  };

  // TargetKeys.cpp
  void beginKeyed(Run &&Next, absl::Time Now);
  void onStartStored(const model::ForwardId &Id, DedupeHome::Start How,
                     absl::Time Now);
  void replay(link::PeerHandle To, const model::ForwardId &Id,
              const wire::AnswerT &Known, absl::Time Now);
  void endKeyed(const wire::AnswerT &Answer, absl::Time Now);
  std::vector<Waiter> takeWaiters(const std::string &Name);
  /// The answer to a forward goes to \p From from now on.
  void moveTo(const model::ForwardId &Id, link::PeerHandle From);

  // TargetDeaths.cpp
  [[nodiscard]] bool isPutAside(model::Fingerprint Print,
                                const state::Snapshot &State, absl::Time Now);
  void startSuspects(absl::Time Now);
  void holdCut(const Run &Done, absl::Time Now);
  void noteAlive(const Run &Done);
  void judgeCuts(absl::Time Now);
  void judge(CutBatch &Batch, absl::Time Now);
  void learnDeath(CutBatch &Batch, absl::Time Now);

  /// Lets it run now, or later if it is a suspect.
  void passOn(Run &&Next, absl::Time Now);
  void offer(Run &&Next, absl::Time Now);
  [[nodiscard]] model::RefusalReason check(link::PeerHandle From,
                                           const wire::ForwardT &Message,
                                           const state::Snapshot &State,
                                           absl::Time Now) const;
  /// \returns whether the token spent on a forward has lapsed or its keeper has
  /// been replaced: a daemon that was paused may still send such.
  [[nodiscard]] bool isGrantStale(link::PeerHandle From,
                                  const wire::ForwardT &Message,
                                  const state::Snapshot &State,
                                  absl::Time Now) const;
  /// \returns whether the forward is new and recorded; answers it if not.
  [[nodiscard]] bool record(link::PeerHandle From, const model::ForwardId &Id,
                            absl::Time Now);
  /// Keeps the answer for queries and sends it.
  void settle(link::PeerHandle To, wire::AnswerT Answer, absl::Time Now);
  void resend(link::PeerHandle To, const model::ForwardId &Id, absl::Time Now);
  void dropEvicted();
  [[nodiscard]] wire::AnswerT makeRefusal(const model::ForwardId &Id,
                                          model::RefusalReason Reason,
                                          model::Ran DidRun,
                                          absl::Duration RetryAfter,
                                          absl::Time Now) const;
  void refuse(link::PeerHandle To, const model::ForwardId &Id,
              model::RefusalReason Reason, model::Ran DidRun,
              absl::Duration RetryAfter, absl::Time Now);
  void drainAdmission(absl::Time Now);
  void start(policy::TicketId Ticket, absl::Time Now);
  /// Refuses an admitted request whose service the target has given up since.
  void refuseOtherService(policy::TicketId Ticket, absl::Time Now);
  void onResult(policy::TicketId Ticket, http::HttpResult Result,
                absl::Time Now);
  void answerResult(Run &Done, http::HttpResult &Result, absl::Time Now);
  std::uint32_t customerIndex(const std::string &Customer);

  Options m_Options;
  ContextTable &m_Contexts;
  policy::Admission m_Admission;
  policy::ForwardLedger m_Ledger;
  absl::flat_hash_map<policy::OutcomeId, wire::AnswerT> m_Outcomes;
  policy::OutcomeId m_LastOutcome = 0;
  DedupeHome m_Dedupe;
  absl::flat_hash_map<model::ForwardId, std::string> m_KeyNames;
  absl::flat_hash_map<model::ForwardId, Run> m_Starting;
  absl::flat_hash_map<std::string, std::vector<Waiter>> m_Waiters;
  policy::PoisonRequestDetector m_Watch;
  std::deque<Run> m_SuspectQueue;
  std::deque<CutBatch> m_Cuts;
  std::uint64_t m_LastNews = 0;
  std::string m_Service;
  std::string m_TargetBase; ///< Empty until the target announced itself.
  std::uint64_t m_TargetInstance = 0;
  std::uint64_t m_LeftInstance = 0; ///< The last that announced its leaving.
  bool m_IsServing = false;
  bool m_IsStopping = false;
  policy::TicketId m_LastTicket = 0;
  absl::flat_hash_map<policy::TicketId, Run> m_Runs;
  absl::flat_hash_map<model::ForwardId, policy::TicketId> m_Tickets;
  absl::flat_hash_map<std::string, std::uint32_t> m_CustomerIndices;
  std::vector<policy::TicketId> m_ToRun;
  std::vector<policy::AdmissionRefusal> m_ToRefuse;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_TARGETSIDE_H
