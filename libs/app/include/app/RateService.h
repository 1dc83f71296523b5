#ifndef KNAPWEEDLOFT_APP_RATESERVICE_H
#define KNAPWEEDLOFT_APP_RATESERVICE_H

#include "app/RateDecision.h"
#include "link/generated/link_generated.h"
#include "model/Member.h"
#include "policy/FailureDetector.h"
#include "policy/GrantLifetime.h"
#include "policy/GrantedTokens.h"
#include "state/KeeperClaim.h"
#include "state/SnapshotStore.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::app {

/// Keeps each customer to its rate and burst over the whole fleet.
///
/// The customers of a shard have one keeper, agreed in the log. Every daemon
/// holds a few tokens of the customers that call it and asks their keepers for
/// more; this class is both sides. acquire() may be called from any thread,
/// everything else belongs to the link thread.
///
/// \p Now is the monotonic clock. Where it comes with a message it must have
/// been read after the message arrived: otherwise a daemon that wakes from a
/// pause would answer by the time before it.
///
/// \code
///   RateService Rates({.m_Self = Self}, Store, std::move(Hooks));
///   Rates.acquire("bindery", Now, absl::Milliseconds(50),
///                 [](const RateDecision &Decision) { answer(Decision); });
/// \endcode
class RateService {
public:
  struct Hooks {
    /// Sends to a member by name. \returns false if there is no link, which
    /// the hook may then open.
    std::function<bool(const std::string &Name, link::wire::GrantAskT Ask)>
        m_SendAsk;
    std::function<bool(const std::string &Name, link::wire::GrantT Grant)>
        m_SendGrant;
    /// Runs a task on the link thread, after a delay, with the time at which it
    /// runs: the thread that posts it may have read the clock long before.
    std::function<void(std::function<void(absl::Time Now)> Task,
                       absl::Duration Delay)>
        m_Post;
    /// Appends to the log, in the background and perhaps in vain.
    std::function<void(state::KeeperClaim Claim)> m_Claim;
    /// FreshnessTracker::mayHoldLease() of a tracker whose bound is
    /// m_StopsWithin.
    std::function<bool(absl::Time Now)> m_MayKeep;
    /// Whether a member is believed to be alive.
    std::function<bool(const std::string &Name)> m_IsAlive;
  };

  struct Options {
    model::Member m_Self;
    policy::GrantLifetime m_Lifetime = {};
    policy::GrantedTokens::Options m_Allotment = {};
    /// A keeper that is cut off stops granting within this: the freshness
    /// bound, and in an outage the age of the words that it rests on.
    absl::Duration m_StopsWithin = absl::Seconds(9);
    /// Time that each earlier choice for a vacant shard has to claim it.
    absl::Duration m_ClaimTurn = absl::Seconds(2);
    std::size_t m_MaxWaiting = 4096; ///< Calls of a customer.
    /// Calls wait for tokens that are due within this; others are refused at
    /// once.
    absl::Duration m_Patience = absl::Milliseconds(25);
  };

  RateService(Options Settings, const state::SnapshotStore &Store,
              Hooks Surroundings);
  ~RateService();

  /// Takes a token of \p Customer. Call it only while the state is trusted: one
  /// that lacks records may not know the customer's rate. \p Done runs at once
  /// where the answer is known, else on the link thread within about \p
  /// MaxWait.
  void acquire(const std::string &Customer, absl::Time Now,
               absl::Duration MaxWait,
               std::function<void(const RateDecision &)> Done);

  /// \returns whether the message was one of this component.
  bool onMessage(const policy::PeerIncarnation &From,
                 const link::wire::MessageUnion &Message, absl::Time Now);

  /// The state has advanced.
  void onSnapshot(absl::Time Now);

  /// A member's own Leave was seen in the log: it has stopped granting.
  void onLeave(const policy::PeerIncarnation &Who);

  /// Call it about every 50 ms.
  void tick(absl::Time Now);

  /// Stops granting for good. Call it before the Leave is appended.
  void stopKeeping();

  struct Counters {
    std::uint64_t m_Asks = 0;     ///< Sent or handled within the daemon.
    std::uint64_t m_Answers = 0;  ///< As a keeper.
    std::uint64_t m_Claims = 0;   ///< Appends tried.
    std::size_t m_KeptShards = 0; ///< Kept at present.
  };
  [[nodiscard]] Counters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_RATESERVICE_H
