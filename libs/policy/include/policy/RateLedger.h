#ifndef KNAPWEEDLOFT_POLICY_RATELEDGER_H
#define KNAPWEEDLOFT_POLICY_RATELEDGER_H

#include "absl/container/flat_hash_map.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// Names a customer in few bytes between daemons (\see stableHash()).
using CustomerHash = std::uint64_t;

/// Holds customers to their rates and bursts over the fleet without asking
/// another daemon.
///
/// Each daemon keeps a copy of every customer's one bucket. It takes from its
/// copy at once and tells the others a few times a second what it has taken in
/// all; they take that from theirs. What was taken beyond the rate while the
/// words were under way leaves the copies below zero, where nothing is granted
/// until it has been made up for. So that little is: between two rounds a
/// daemon takes at most the part of the level that it has taken of late,
/// except that a few tokens are free while the bucket is half full, which it
/// is for a customer inside its rate.
///
/// A daemon that is not heard any more may go on to take. The part of the rate
/// that it last took is therefore left to it for a while; on either side of a
/// cut the parts add up to the rate. A copy starts with a part of the burst,
/// since the one before a restart may have spent it. It grants nothing before
/// it is told that the daemons of the fleet are known, and its part of the
/// start then counts those that it has not heard yet: a fleet that is started
/// at once would else grant the start once a daemon. Not thread-safe.
///
/// Answers one customer at many times its usual, demand that moves between
/// daemons, and restarts of all. Weighed in docs/design/rates.md.
///
/// \code
///   Ledger.setRate("acme", {.m_PerSecond = 50, .m_Burst = 100}, Now);
///   Ledger.onMember("daemon-7", Now);
///   Ledger.onMembersKnown(Now, Random);
///   Ledger.onSpent({"daemon-7", Incarnation, Started}, Hash, Total, Now);
///   if (!Ledger.tryTake("acme", Now))
///     return refuse(Ledger.waitFor("acme", Now));
/// \endcode
class RateLedger {
public:
  struct Rate {
    double m_PerSecond = 0;
    double m_Burst = 0;

    friend bool operator==(const Rate &, const Rate &) = default;
  };

  struct Options {
    /// Time between two rounds of words.
    absl::Duration m_Round = absl::Milliseconds(500);
    /// Part of the level that is divided evenly, for demand that moves.
    double m_EvenPart = 0.2;
    /// Part of the burst that is there at a start.
    double m_StartPart = 0.25;
    /// Tokens that are free in a round while the bucket is half full.
    double m_FreeTokens = 3;
    /// How long a daemon that is not heard any more keeps its part.
    absl::Duration m_KeepFor = absl::Seconds(15);
    /// How long after a start a daemon that was never heard counts. Those that
    /// run link up within a second or two; the names of former ones stay.
    absl::Duration m_AwaitFor = absl::Seconds(5);
    /// Over this time takings are averaged.
    absl::Duration m_Over = absl::Seconds(2);
  };

  /// Who tells what it has taken.
  struct Teller {
    std::string m_Name;
    std::uint64_t m_Incarnation = 0;
    absl::Time m_Started; ///< By the clock of the listener.
  };

  /// What this daemon has taken in all since its start.
  struct Spent {
    CustomerHash m_Customer = 0;
    double m_Total = 0;
  };

  explicit RateLedger(const Options &Settings) : m_Settings(Settings) {}

  void setRate(const std::string &Customer, const Rate &Limit, absl::Time Now);
  /// The customer has no limit any more.
  void clearRate(const std::string &Customer);

  /// There is a daemon, which may not have been heard yet.
  void onMember(const std::string &Daemon, absl::Time Now);
  /// All daemons that can be known at a start were told: from now on it grants.
  void onMembersKnown(absl::Time Now, absl::BitGenRef Random);
  /// A daemon can be heard, or cannot any more.
  void onDaemon(const std::string &Daemon, bool IsHeard, absl::Time Now);
  /// What a daemon has taken in all.
  void onSpent(const Teller &From, CustomerHash Customer, double Total,
               absl::Time Now);

  /// \returns true also for customers without a rate.
  [[nodiscard]] bool tryTake(const std::string &Customer, absl::Time Now);
  /// The request did not run after all.
  void putBack(const std::string &Customer, absl::Time Now);
  /// \returns when there may be a token.
  [[nodiscard]] absl::Duration waitFor(const std::string &Customer,
                                       absl::Time Now) const;

  /// Begins a round; does nothing before the last is over.
  /// \returns whether a round began.
  bool update(absl::Time Now, absl::BitGenRef Random);

  /// \returns what has changed since the last call, for the others to know.
  [[nodiscard]] std::vector<Spent> takeChanged();
  /// \returns all that was taken, for a daemon that is heard anew.
  [[nodiscard]] std::vector<Spent> all() const;

private:
  struct Other {
    std::uint64_t m_Incarnation = 0;
    double m_Total = 0;     ///< As it was told last.
    double m_PerSecond = 0; ///< Decaying average.
  };

  struct Account {
    Rate m_Rate;
    double m_Level = 0;
    absl::Time m_Created;
    absl::Time m_Updated;
    double m_LeftPart = 1; ///< Of the rate, after what is left to the unheard.
    double m_OwnTotal = 0;
    double m_ToldTotal = 0;
    double m_OwnPerSecond = 0; ///< Decaying average.
    double m_RoundTaken = 0;
    double m_RoundLimit = 0;
    absl::flat_hash_map<std::string, Other> m_Others;
  };

  struct Daemon {
    bool m_IsHeard = true;
    bool m_WasHeard = true; ///< At any time.
    absl::Time m_Since;
  };

  /// How many daemons there are, this one with those that are heard.
  struct Heads {
    double m_Heard = 1;
    double m_Unheard = 0;
  };

  void accrue(Account &Of, absl::Time Now) const;
  [[nodiscard]] Heads heads() const;
  void beginRound(Account &Of, const Heads &Fleet, double Decay,
                  absl::BitGenRef Random) const;
  void forgetUnheard(absl::Time Now);

  Options m_Settings;
  bool m_AreMembersKnown = false;
  absl::Time m_RoundBegan = absl::InfinitePast();
  absl::flat_hash_map<std::string, Account> m_Accounts;
  absl::flat_hash_map<CustomerHash, std::string> m_Names;
  absl::flat_hash_map<std::string, Daemon> m_Daemons;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RATELEDGER_H
