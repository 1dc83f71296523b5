#ifndef KNAPWEEDLOFT_APP_ENTRYSIDE_H
#define KNAPWEEDLOFT_APP_ENTRYSIDE_H

#include "app/ContextTable.h"
#include "app/EntryRequest.h"
#include "app/EntryService.h"
#include "app/RequestRecord.h"
#include "app/WireConvert.h"
#include "model/Member.h"
#include "policy/AttemptBudget.h"
#include "policy/ForwardStatusResolver.h"
#include "state/SnapshotStore.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/random/random.h"

#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// The side of a daemon that callers' requests enter by: chooses targets,
/// forwards, retries within the budgets, and answers each request once.
///
/// Not thread-safe: it belongs to the link thread. The hooks may not call back
/// into it before they return.
class EntrySide {
public:
  struct Hooks {
    /// Sends to a member. \returns false if no link to it is up.
    std::function<bool(const model::Member &To, wire::ForwardT)> m_Forward;
    std::function<void(const model::Member &To, wire::CancelT)> m_Cancel;
    /// \returns false if no link to the member is up.
    std::function<bool(const model::Member &To, wire::FateQueryT)> m_Query;
    std::function<bool(const model::Member &Who)> m_IsLinked;
    /// Asks for a link; onPeerUp() follows if it comes up.
    std::function<void(const model::Member &To)> m_WantLink;
    std::function<bool(const model::Member &Who)> m_IsAlive;
    /// Asks for a tick() at \p When or soon after.
    std::function<void(absl::Time When)> m_Wake;
    /// Calls \p Hook on the link thread when the caller hangs up.
    std::function<void(const EntryRequest &,
                       std::function<void(absl::Time Now)> Hook)>
        m_OnHangUp;
    /// Called once for each request that ended here.
    std::function<void(const RequestRecord &)> m_OnEnd;
  };

  struct Options {
    model::Member m_Self;
    /// Attempts that a request may make beyond the first, over all hops.
    std::uint16_t m_ExtraAttempts = 2;
    /// Attempts that the first hop keeps to itself, for the loss of a daemon.
    std::uint16_t m_ReservedAttempts = 1;
    /// How long a request waits for a link before it is refused.
    absl::Duration m_LinkWait = absl::Seconds(1);
    /// How long past its deadline the target side's own answer is awaited.
    absl::Duration m_DeadlineGrace = absl::Milliseconds(50);
    policy::ForwardStatusResolver::Options m_Fate;
    /// How long another link is waited for where a second run does no harm.
    absl::Duration m_IdempotentLinkWait = absl::Milliseconds(250);
    policy::EarlyRefusal::Options m_EarlyRefusal;
    policy::RetryPolicy::Options m_Retries;
    Hooks m_Hooks;
  };

  EntrySide(Options Settings, const state::SnapshotStore &Store,
            ContextTable &Contexts);

  void submit(EntryRequest Request, absl::Time Now);
  void onAnswer(wire::AnswerT &Answer, absl::Time Now);
  void onPeerUp(const model::Member &Who, absl::Time Now);
  /// What became of a forward, by the side that could run it.
  void onStatus(const wire::FateAnswerT &Answer, absl::Time Now);
  /// A link to \p Who is down; another may be left.
  void onPeerDown(const model::Member &Who, absl::Time Now);
  /// The set of members that are alive has changed.
  void onLivenessChange();
  void tick(absl::Time Now);

  /// Refuses from now on what may be under way after \p End.
  void stopBy(absl::Time End) { m_StopEnd = End; }
  /// Answers all that is under way. What is at a target goes on there.
  void endAll(absl::Time Now);

  [[nodiscard]] std::size_t pending() const { return m_Pending.size(); }

private:
  using PendingId = std::uint64_t;

  enum class Stage : std::uint8_t {
    Choosing,
    Parked,
    BackingOff,
    Sent,
    Asking ///< Sent, and its link went down since.
  };

  struct Pending {
    EntryRequest m_Request;
    Stage m_Stage = Stage::Choosing;
    unsigned m_Attempt = 0;              ///< Forwards made so far.
    policy::AttemptBudget m_Attempts{0}; ///< Of a request from outside.
    policy::AttemptBudget m_Reserve{0};
    std::vector<policy::TargetHandle> m_Excluded;
    model::Member m_To;
    policy::TargetHandle m_Target;
    std::uint64_t m_Sequence = 0;   ///< Of the forward under way.
    std::uint16_t m_HandedOver = 0; ///< Attempts given to that forward.
    absl::Time m_Sent;
    absl::Time m_ParkedSince = absl::InfiniteFuture();
    std::optional<policy::ForwardStatusResolver> m_Fate; ///< If it is Asking.

    [[nodiscard]] bool isAtTarget() const {
      return m_Stage == Stage::Sent || m_Stage == Stage::Asking;
    }
  };

  struct Alarm {
    absl::Time m_When;
    PendingId m_Id;
    bool operator>(const Alarm &Other) const { return m_When > Other.m_When; }
  };

  struct Ending {
    model::RefusalReason m_Reason = model::RefusalReason::None;
    model::Ran m_Ran = model::Ran::No;
    absl::Duration m_RetryAfter;
    bool m_IsFinal = false; ///< A retry cannot help.
  };

  EntryService &serviceOf(const std::string &Name, absl::Time Now);
  void refreshTargets(const std::string &Name, EntryService &Service,
                      absl::Time Now);
  /// Takes over what a call by a target inherits from its running request.
  [[nodiscard]] bool inherit(EntryRequest &Request, Pending &Next,
                             absl::Time Now, Ending &Refused);
  void dispatch(PendingId Id, absl::Time Now);
  /// \returns whether the key has been withdrawn since the request entered.
  [[nodiscard]] bool isKeyWithdrawn(const EntryRequest &Request) const;
  /// Requests with an idempotency key go to the key's home only.
  void dispatchHome(PendingId Id, Pending &Next, EntryService &Service,
                    absl::Time Now);
  [[nodiscard]] bool forward(PendingId Id, Pending &Next, EntryService &Service,
                             policy::TargetHandle Target, absl::Time Now);
  [[nodiscard]] wire::ForwardT makeForward(const Pending &Next,
                                           const model::Member &To,
                                           absl::Time Now) const;
  [[nodiscard]] policy::AttemptBudget &attemptsOf(Pending &Under);
  void park(PendingId Id, Pending &Next, EntryService &Service, absl::Time Now);
  void onRefused(PendingId Id, Ending Refused, absl::Time Now);
  /// \returns whether the request goes on with another attempt.
  [[nodiscard]] bool tryAgain(PendingId Id, Pending &Held,
                              EntryService &Service, Ending &Refused,
                              absl::Time Now);
  void setAlarm(PendingId Id, absl::Time When);
  void onAlarm(PendingId Id, absl::Time Now);
  void onHangUp(PendingId Id, absl::Time Now);
  // EntryFate.cpp
  void loseLink(PendingId Id, Pending &Held, absl::Time Now);
  void resolve(PendingId Id, absl::Time Now);
  [[nodiscard]] bool ask(const Pending &Held);
  void endUnknown(PendingId Id, Pending &Held, absl::Time Now);
  void retryNotRun(PendingId Id, Pending &Held, absl::Time Now);
  void resolveAll(const model::Member &Who, absl::Time Now);
  void cancelForward(Pending &Under, absl::Time Now);
  void end(PendingId Id, const Ending &How, absl::Time Now);
  void succeed(PendingId Id, wire::AnswerT &Answer, absl::Time Now);
  void report(const Pending &Done, const Ending &How, int Status,
              absl::Time Now);
  std::uint32_t customerIndex(const std::string &Customer);

  Options m_Options;
  const state::SnapshotStore &m_Store;
  ContextTable &m_Contexts;
  absl::BitGen m_Random;
  absl::Time m_StopEnd = absl::InfiniteFuture();
  PendingId m_LastId = 0;
  std::uint64_t m_LastSequence = 0;
  std::uint64_t m_LivenessVersion = 1;
  absl::node_hash_map<PendingId, Pending> m_Pending;
  absl::flat_hash_map<std::uint64_t, PendingId> m_BySequence;
  absl::node_hash_map<std::string, EntryService> m_Services;
  absl::flat_hash_map<std::string, std::uint32_t> m_CustomerIndices;
  std::priority_queue<Alarm, std::vector<Alarm>, std::greater<>> m_Alarms;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_ENTRYSIDE_H
