#ifndef KNAPWEEDLOFT_POLICY_REPLICATEDRATELIMITER_H
#define KNAPWEEDLOFT_POLICY_REPLICATEDRATELIMITER_H

#include "absl/container/flat_hash_map.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// Names a customer in few bytes, in messages between daemons
/// (\see stableHash()).
using CustomerHash = std::uint64_t;

/// Enforces the rates and bursts of customers over the whole fleet without a
/// request to another daemon.
///
/// Each daemon has a replica of every customer's bucket. It takes tokens from
/// its replica at once and reports the total that it has taken to the other
/// daemons a few times a second; they subtract it from theirs. Tokens taken
/// beyond the rate while reports are in transit leave the replicas below zero,
/// and nothing is granted until the deficit has been refilled. To keep the
/// excess small, a daemon takes between two rounds at most the share of the
/// level that it had of recent usage. While the bucket is more than half full,
/// as it is for a customer within its rate, a few tokens are free of that
/// limit, unless a request was refused in the last rounds.
///
/// The shares of all daemons add up to one only if all divide the same usage.
/// After the bucket was empty, a daemon therefore divides what the others have
/// heard of it, and not yet what it took in the round that has just ended. A
/// daemon that was linked lately has not reported a round yet; it is taken to
/// have used as much as this one, as no report does not mean no usage.
///
/// A daemon that has become unreachable may go on taking tokens. Its last share
/// of the usage therefore stays reserved for it for a while, so that on both
/// sides of a network partition the shares add up to the rate. A replica starts
/// with a share of the burst, since its predecessor may have spent the burst
/// just before a restart. It grants nothing until onMembersKnown(), and its
/// share of the initial tokens then takes into account the daemons that it has
/// not reached yet: otherwise a fleet that starts all at once would grant the
/// initial tokens once for each daemon. Not thread-safe.
///
/// Designed for a customer at many times its usual rate, demand that moves
/// between daemons, and restarts of all daemons; docs/design/rates.md compares
/// the alternatives.
///
/// \code
///   Limiter.setRate("acme", {.m_PerSecond = 50, .m_Burst = 100}, Now);
///   Limiter.onMember("daemon-7", Now);
///   Limiter.onMembersKnown(Now, Random);
///   Limiter.onSpent({"daemon-7", Incarnation, Started}, Hash, Total, Now);
///   if (!Limiter.tryTake("acme", Now))
///     return refuse(Limiter.waitFor("acme", Now));
/// \endcode
class ReplicatedRateLimiter {
public:
  struct Rate {
    double m_PerSecond = 0;
    double m_Burst = 0;

    friend bool operator==(const Rate &, const Rate &) = default;
  };

  struct Options {
    /// Time between two rounds of reports.
    absl::Duration m_RoundInterval = absl::Milliseconds(500);
    /// Share of the level that is divided evenly among the daemons, for demand
    /// that moves between them; the rest is divided by recent usage.
    double m_EvenShare = 0.2;
    /// Share of the burst that is available at start.
    double m_InitialBurstShare = 0.25;
    /// Minimum limit of a daemon in a round while the bucket is more than half
    /// full and nothing was refused for \c m_RefusalMemory.
    double m_FreeTokens = 3;
    /// How long a refusal tells that the customer is not within its rate.
    absl::Duration m_RefusalMemory = absl::Milliseconds(1500);
    /// How long an empty bucket tells that the customer is not within its rate.
    absl::Duration m_ShortageMemory = absl::Seconds(2);
    /// A daemon that was linked less than this ago may not have reported yet
    /// what it took since.
    absl::Duration m_FirstReportTime = absl::Milliseconds(750);
    /// How long the share of an unreachable daemon stays reserved.
    absl::Duration m_UnreachableRetention = absl::Seconds(15);
    /// How long a daemon that was never reachable counts. Running daemons are
    /// linked within a second or two; the names of former ones remain known.
    absl::Duration m_FirstContactTimeout = absl::Seconds(5);
    /// Time constant of the exponential average of usage.
    absl::Duration m_AveragingPeriod = absl::Seconds(2);
  };

  /// The daemon that reports what it has taken.
  struct Sender {
    std::string m_Name;
    std::uint64_t m_Incarnation = 0;
    absl::Time m_Started; ///< By the clock of the receiver.
  };

  /// The total that a daemon has taken for a customer since its start.
  struct Spent {
    CustomerHash m_Customer = 0;
    double m_Total = 0;
  };

  explicit ReplicatedRateLimiter(const Options &Settings)
      : m_Settings(Settings) {}

  void setRate(const std::string &Customer, const Rate &Limit, absl::Time Now);
  /// Removes the customer's limit.
  void clearRate(const std::string &Customer);

  /// \p Daemon is a member of the fleet; it may not have been reachable yet.
  void onMember(const std::string &Daemon, absl::Time Now);
  /// All members known at start have been added: tokens are granted from now
  /// on.
  void onMembersKnown(absl::Time Now, absl::BitGenRef Random);
  /// A daemon has become reachable or unreachable.
  void onReachability(const std::string &Daemon, bool IsReachable,
                      absl::Time Now);
  /// Applies the report of the total that a daemon has taken.
  void onSpent(const Sender &From, CustomerHash Customer, double Total,
               absl::Time Now);

  /// \returns true also for customers without a rate.
  [[nodiscard]] bool tryTake(const std::string &Customer, absl::Time Now);
  /// Returns the token of a request that did not run.
  void putBack(const std::string &Customer, absl::Time Now);
  /// \returns the time until a token may be available.
  [[nodiscard]] absl::Duration waitFor(const std::string &Customer,
                                       absl::Time Now) const;

  /// Begins a round unless the current one is not over yet.
  /// \returns whether a round began.
  bool update(absl::Time Now, absl::BitGenRef Random);

  /// \returns the totals that have changed since the last call, to report to
  /// the other daemons.
  [[nodiscard]] std::vector<Spent> takeChanged();
  /// \returns all totals, to report to a daemon that has become reachable.
  [[nodiscard]] std::vector<Spent> all() const;

private:
  struct PeerUsage {
    std::uint64_t m_Incarnation = 0;
    double m_Total = 0;     ///< As last reported.
    double m_PerSecond = 0; ///< Decaying average.
  };

  struct Replica {
    Rate m_Rate;
    double m_Level = 0;
    absl::Time m_Created;
    absl::Time m_Updated;
    double m_RateShare = 1; ///< Of the rate; less that of unreachable daemons.
    double m_OwnTotal = 0;
    double m_ReportedTotal = 0;
    /// Decaying average of what entered the division of the level.
    double m_OwnPerSecond = 0;
    double m_OwnPending = 0; ///< Taken, not yet in \c m_OwnPerSecond.
    double m_RoundTaken = 0;
    double m_RoundLimit = 0;
    absl::Time m_RefusedAt = absl::InfinitePast();
    absl::Time m_EmptyAt = absl::InfinitePast();
    absl::flat_hash_map<std::string, PeerUsage> m_Peers;
  };

  struct Daemon {
    bool m_IsReachable = true;
    bool m_WasReachable = true; ///< At any time so far.
    absl::Time m_Since;
  };

  /// Number of daemons; this one counts as reachable.
  struct FleetSize {
    double m_Reachable = 1;
    double m_Unreachable = 0;
  };

  /// Recent usage as a daemon knows it, by the second.
  struct Usage {
    double m_Reachable = 0; ///< Includes that of this daemon.
    double m_Unreachable = 0;
  };

  void accrue(Replica &Copy, absl::Time Now) const;
  [[nodiscard]] FleetSize fleetSize() const;
  /// \returns what daemons that were linked lately may have taken in the last
  /// round without having reported it.
  [[nodiscard]] double unreportedOf(const Replica &Copy) const;
  /// Lets what this daemon took enter its average.
  void countOwn(Replica &Copy) const;
  void decayUsage(Replica &Copy, double Decay) const;
  [[nodiscard]] Usage usageOf(const Replica &Copy) const;
  /// \returns this daemon's share of the level and the refill.
  [[nodiscard]] double shareOf(const Replica &Copy, const FleetSize &Fleet,
                               const Usage &Recent) const;
  /// \returns the part of the rate that daemons out of reach leave.
  [[nodiscard]] double leftBy(const FleetSize &Fleet,
                              const Usage &Recent) const;
  void beginRound(Replica &Copy, const FleetSize &Fleet, double Decay,
                  absl::BitGenRef Random) const;
  void dropUnreachable(absl::Time Now);

  Options m_Settings;
  bool m_AreMembersKnown = false;
  absl::Time m_RoundStartedAt = absl::InfinitePast();
  absl::flat_hash_map<std::string, Replica> m_Replicas;
  absl::flat_hash_map<CustomerHash, std::string> m_CustomerNames;
  absl::flat_hash_map<std::string, Daemon> m_Daemons;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_REPLICATEDRATELIMITER_H
