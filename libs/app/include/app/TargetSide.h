#ifndef KNAPWEEDLOFT_APP_TARGETSIDE_H
#define KNAPWEEDLOFT_APP_TARGETSIDE_H

#include "app/Announcement.h"
#include "app/ContextTable.h"
#include "app/WireConvert.h"
#include "http/HttpClient.h"
#include "link/LinkNode.h"
#include "model/Ran.h"
#include "model/RefusalReason.h"
#include "policy/Admission.h"
#include "policy/ForwardLedger.h"
#include "state/Snapshot.h"

#include "absl/container/flat_hash_map.h"

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
    /// Asks for a tick() at \p When or soon after.
    std::function<void(absl::Time When)> m_Wake;
  };

  struct Options {
    model::Incarnation m_Self = 0;
    policy::Admission::Options m_Admission;
    policy::ForwardLedger::Options m_Ledger;
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
  void tick(absl::Time Now);

  /// Refuses new forwards from now on; those admitted go on.
  void stopIntake();

  [[nodiscard]] std::size_t pending() const { return m_Runs.size(); }
  [[nodiscard]] wire::Load load(absl::Time Now) const;

private:
  struct Run {
    model::ForwardId m_Id;
    link::PeerHandle m_From;
    wire::ForwardT m_Message;
    absl::Time m_Deadline;
    ContextId m_Context{};
    http::HttpClient::CallId m_Call = 0;
    absl::Time m_Started = absl::InfinitePast(); ///< Before: it is queued.
    std::uint16_t m_AttemptsLeft = 0;
    bool m_HasFailedBelow = false;
  };

  [[nodiscard]] model::RefusalReason check(const wire::ForwardT &Message,
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
  std::string m_Service;
  std::string m_TargetBase; ///< Empty until the target announced itself.
  std::uint64_t m_TargetInstance = 0;
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
