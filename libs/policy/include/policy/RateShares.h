#ifndef KNAPWEEDLOFT_POLICY_RATESHARES_H
#define KNAPWEEDLOFT_POLICY_RATESHARES_H

#include "policy/TokenBucket.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::policy {

/// This daemon's part of each customer's rate and burst over the fleet.
///
/// Daemons tell each other what callers ask of them for each customer. Each
/// takes the part of the rate that its own demand has in the sum, so that one
/// customer at many times its usual is held to its rate everywhere at once and
/// one inside its rate finds tokens wherever its requests arrive. A small part
/// of the rate is divided evenly and needs no word of another daemon: it
/// serves a customer that appears where it was not seen before. No request
/// waits for a message.
///
/// What a daemon that is cut off last told goes on to count for a while, as it
/// goes on to spend by it. Shares of daemons with different views add up to
/// more than the rate by what has changed since the last words. A bucket
/// starts with a part of its burst only: the one before a restart may have
/// spent it. Not thread-safe.
///
/// \code
///   Shares.setRate("acme", {.m_RatePerSecond = 50, .m_Burst = 100}, Now);
///   Shares.onDemand("daemon-7", "acme", 12.5, Now);
///   if (!Shares.tryTake("acme", Now))
///     return refuse(Shares.waitFor("acme", Now));
/// \endcode
class RateShares {
public:
  struct Options {
    /// Part of the rate that is divided evenly over the daemons.
    double m_EvenPart = 0.2;
    /// Part of the burst that is there at a start.
    double m_StartPart = 0.25;
    /// Words of a daemon that is not heard any more count for so long.
    absl::Duration m_KeepFor = absl::Seconds(10);
    /// Over this time the demand is averaged.
    absl::Duration m_DemandOver = absl::Seconds(1);
  };

  struct Demand {
    std::string m_Customer;
    double m_PerSecond = 0;
  };

  explicit RateShares(const Options &Settings) : m_Settings(Settings) {}

  /// Sets or changes what a customer may call over the whole fleet.
  void setRate(const std::string &Customer, const TokenBucket::Options &Rate,
               absl::Time Now);
  /// The customer has no rate any more, and so no limit.
  void clearRate(const std::string &Customer);

  /// How many daemons there are, this one included.
  void setDaemons(std::size_t Count) { m_Daemons = Count; }

  /// What callers ask of another daemon for a customer.
  void onDemand(const std::string &Daemon, const std::string &Customer,
                double PerSecond, absl::Time Now);

  /// Takes a token for a request, whether granted or not it counts as demand.
  /// \returns true also for customers without a rate.
  [[nodiscard]] bool tryTake(const std::string &Customer, absl::Time Now);
  /// The request did not run after all.
  void putBack(const std::string &Customer, absl::Time Now);
  /// \returns when there will be a token.
  [[nodiscard]] absl::Duration waitFor(const std::string &Customer,
                                       absl::Time Now) const;

  /// \returns what is told to others: the own demand as of the last update(),
  /// for the customers that have any.
  [[nodiscard]] std::vector<Demand> demands() const;

  /// Computes the shares anew; to be called a few times a second. The own
  /// demand counts as it was told, not as it is now: if all demands rise at
  /// once, a daemon that knew its own rise only would take too much.
  void update(absl::Time Now);

  /// \returns this daemon's part of the customer's rate, 0 to 1.
  [[nodiscard]] double shareOf(const std::string &Customer) const;

private:
  struct Heard {
    double m_PerSecond = 0;
    absl::Time m_At;
  };

  struct Account {
    TokenBucket::Options m_Rate{};
    TokenBucket m_Bucket;
    double m_Share = 1;
    double m_OwnDemand = 0;  ///< Requests a second, decaying average.
    absl::Time m_Counted;    ///< When m_OwnDemand was last brought up to date.
    double m_ToldDemand = 0; ///< As of the last update.
    double m_FormerDemand = 0; ///< As of the one before, as others know it.
    absl::flat_hash_map<std::string, Heard> m_Others;
  };

  void decay(Account &Of, absl::Time Now) const;
  void setShare(Account &Of, absl::Time Now) const;
  [[nodiscard]] TokenBucket::Options limitsOf(const Account &Of) const;

  Options m_Settings;
  std::size_t m_Daemons = 1;
  absl::flat_hash_map<std::string, Account> m_Accounts;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RATESHARES_H
