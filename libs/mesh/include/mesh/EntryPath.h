#ifndef KNAPWEEDLOFT_MESH_ENTRYPATH_H
#define KNAPWEEDLOFT_MESH_ENTRYPATH_H

#include "http/ExchangeId.h"
#include "http/HttpMessage.h"
#include "http/ParsedMessage.h"
#include "link/generated/link_generated.h"
#include "mesh/CallObserver.h"
#include "mesh/CatalogIndex.h"
#include "mesh/Dialect.h"
#include "mesh/EntryCounts.h"
#include "mesh/EntryDoor.h"
#include "mesh/PeerTarget.h"
#include "mesh/Reporter.h"
#include "model/RefusalReason.h"
#include "policy/RateLedger.h"
#include "policy/RetryBudget.h"
#include "policy/SplitWheel.h"
#include "policy/TargetChooser.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/random/random.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// The side of a daemon that requests enter by: knows callers by their keys,
/// holds customers to their rates, chooses targets, repeats within the budget
/// and answers each request once.
///
/// Every refusal is final and given at once. Belongs to one thread; the hooks
/// may not call back into it before they return.
class EntryPath {
public:
  struct Hooks {
    /// Sends to the daemon beside a target. \returns false if it cannot.
    std::function<bool(const model::Member &To, wire::ForwardT)> m_Forward;
    std::function<void(const model::Member &To, wire::CancelT)> m_Cancel;
    /// \p Lines are whole header lines.
    std::function<void(http::ExchangeId, int Status, std::string_view Lines,
                       std::string_view Body)>
        m_Answer;
    /// \returns the targets of a service that are known.
    std::function<std::vector<PeerTarget>(const std::string &Service)>
        m_TargetsOf;
    /// \returns the route of what the own target runs with the deadline
    /// \p End; an empty name if that is not certain.
    std::function<std::string(absl::Time End)> m_RouteRunningUntil;
  };

  struct Options {
    model::Member m_Self;
    std::string m_SelfAddress; ///< Calls of the own target come from here.
    Dialect m_Dialect;
    policy::RetryBudget::Options m_Repeats;
    policy::RateLedger::Options m_Rates;
    policy::DoorOrder::Options m_Door;
    /// Targets tried for a request that each refused it unrun.
    unsigned m_MaxRefusals = 4;
    /// How long past the end of a request's time its target's own answer is
    /// waited for.
    absl::Duration m_EndGrace = absl::Milliseconds(30);
    Hooks m_Hooks;
  };

  EntryPath(Options Settings, Reporter Log);

  void setCatalog(CatalogPtr Catalog, absl::Time Now);
  /// Targets have come, gone, opened or closed.
  void onTargetsChanged();
  void onLoad(const std::string &Service, model::Incarnation Daemon,
              const wire::Load &Load, absl::Time Now);

  /// A request, from the IP number \p From.
  void onRequest(http::ExchangeId Id, http::ParsedMessage Message,
                 const std::string &From, absl::Time Now);
  /// The caller is gone.
  void onGone(http::ExchangeId Id, absl::Time Now);
  void onAnswer(wire::AnswerT &Answer, absl::Time Now);
  /// The link to a daemon is down: what was under way there is not known.
  void onDaemonLost(model::Incarnation Daemon, absl::Time Now);
  void tick(absl::Time Now);

  /// Turns away new requests, but for calls of the own target, from then on.
  void stopAfter(absl::Time When) { m_StopsAt = When; }

  /// Looks which routes the own target calls. \returns whether that changed.
  bool updateCalls() { return m_Calls.update(); }
  [[nodiscard]] const std::vector<CallEdge> &calls() const {
    return m_Calls.edges();
  }

  [[nodiscard]] policy::RateLedger &rates() { return m_Rates; }
  [[nodiscard]] std::size_t pending() const { return m_Pending.size(); }
  [[nodiscard]] const EntryCounts &counts() const { return m_Counts; }

private:
  using PendingId = std::uint64_t;

  struct Pending {
    http::ExchangeId m_Exchange;
    http::ParsedMessage m_Message;
    CatalogPtr m_Catalog; ///< Keeps the route and the customer alive.
    const CatalogRoute *m_Route = nullptr;
    const CatalogCustomer *m_Customer = nullptr;
    std::string m_CallId;
    std::string m_Service;
    bool m_IsCall = false; ///< Made by the own target while it runs one.
    std::uint32_t m_Rank = 0;
    absl::Time m_Received;
    absl::Time m_Deadline; ///< The caller waits no longer.
    absl::Time m_End;      ///< Of its time here: deadline or route's timeout.
    absl::Time m_Alarm;
    unsigned m_Arrivals = 0; ///< At targets.
    unsigned m_Refusals = 0; ///< By target sides, unrun.
    bool m_HasToken = false;
    bool m_MayHaveRun = false;
    std::vector<policy::TargetHandle> m_Excluded;
    bool m_IsSent = false;
    std::uint64_t m_Sequence = 0; ///< Of the forward under way.
    policy::TargetHandle m_Target;
    model::Member m_To;
    absl::Time m_Sent;
  };

  struct Service {
    policy::TargetChooser m_Chooser;
    policy::RetryBudget m_Repeats;
    std::uint64_t m_TargetsVersion = 0;
    absl::flat_hash_map<model::Incarnation, PeerTarget> m_Targets;
  };

  struct Ending {
    model::RefusalReason m_Reason = model::RefusalReason::None;
    absl::Duration m_ComeBack; ///< Hint: when there is room.
  };

  // EntryPath.cpp
  [[nodiscard]] Ending identify(Pending &Next, const std::string &From,
                                absl::Time Now);
  [[nodiscard]] Ending identifyCustomer(Pending &Next) const;
  void setTimes(Pending &Next, absl::Time Now) const;
  [[nodiscard]] std::string partOf(const CatalogRoute &Route);
  Service &serviceOf(const std::string &Name, absl::Time Now);
  void refreshTargets(const std::string &Name, Service &Of, absl::Time Now);
  [[nodiscard]] bool passesDoor(const Pending &Next, absl::Time Now);
  void dispatch(PendingId Id, absl::Time Now);
  [[nodiscard]] bool forward(PendingId Id, Pending &Next, Service &Of,
                             policy::TargetHandle Target, absl::Time Now);
  [[nodiscard]] wire::ForwardT
  makeForward(const Pending &Next, const PeerTarget &To, absl::Time Now) const;
  [[nodiscard]] std::string linesFor(const Pending &Next) const;
  void onAlarm(PendingId Id, absl::Time Now);
  void setAlarm(PendingId Id, Pending &Held, absl::Time When);
  void forget(PendingId Id);

  // EntryAnswers.cpp
  void onTargetAnswer(PendingId Id, wire::AnswerT &Answer, absl::Time Now);
  void onTargetFailure(PendingId Id, wire::AnswerT *Answer, absl::Time Now);
  [[nodiscard]] bool mayRepeat(const Pending &Held, bool DidNotRun,
                               absl::Time Now);
  void retry(PendingId Id, const char *Why, absl::Time Now);
  void pass(PendingId Id, wire::AnswerT &Answer, absl::Time Now);
  void end(PendingId Id, const Ending &How, absl::Time Now);
  void refuse(http::ExchangeId Id, const Pending &Refused, const Ending &How,
              absl::Time Now);
  void countOutcome(const Pending &Of, std::string_view Outcome);
  [[nodiscard]] absl::Duration
  comeBackAfter(const Pending &Refused, absl::Duration Hint, absl::Time Now);

  Options m_Options;
  Reporter m_Log;
  CatalogPtr m_Catalog;
  policy::RateLedger m_Rates;
  absl::BitGen m_Random;
  PendingId m_LastId = 0;
  std::uint64_t m_LastSequence = 0;
  std::uint64_t m_TargetsVersion = 1;
  absl::node_hash_map<PendingId, Pending> m_Pending;
  absl::flat_hash_map<http::ExchangeId, PendingId> m_ByExchange;
  absl::flat_hash_map<std::uint64_t, PendingId> m_BySequence;
  absl::node_hash_map<std::string, Service> m_Services;
  absl::flat_hash_map<std::string, policy::SplitWheel> m_Wheels; ///< By route.
  std::set<std::pair<absl::Time, PendingId>> m_Alarms;
  EntryDoor m_Door;
  CallObserver m_Calls{{}};
  absl::Time m_StopsAt = absl::InfiniteFuture();
  EntryCounts m_Counts;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ENTRYPATH_H
