#ifndef KNAPWEEDLOFT_POLICY_GRANTEDTOKENS_H
#define KNAPWEEDLOFT_POLICY_GRANTEDTOKENS_H

#include "policy/LeasedTokenBucket.h"

#include "absl/time/time.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace knapweedloft::policy {

/// A token taken from the granted ones, and when it expires.
struct TakenToken {
  std::uint64_t m_Epoch = 0;
  absl::Time m_Expires;
};

/// The tokens of one customer that the lease holder of its shard has granted
/// to this daemon.
///
/// take() may be called from any thread. All other functions belong to the one
/// thread that sends token requests to the lease holder and applies its
/// grants. A single atomic counts the tokens, so the numbers reported as held
/// and as spent are consistent at any moment.
///
/// \code
///   if (auto Token = Held.take(Now))
///     return forward(*Token);
///   sendToLeaseHolder(Held.ask(Epoch, Needed, Burst, Now));
/// \endcode
class GrantedTokens {
public:
  struct Options {
    /// Tokens are requested ahead for this period of estimated demand.
    absl::Duration m_PrefetchPeriod = absl::Milliseconds(100);
    /// Maximum share of the burst that is requested ahead of demand.
    double m_MaxPrefetchShare = 0.125;
    /// Time constant of the exponential average that estimates demand.
    absl::Duration m_DemandTimeConstant = absl::Milliseconds(500);
    /// Tokens of which none was spent for this long are idle; the caller gives
    /// them back.
    absl::Duration m_IdleTimeout = absl::Milliseconds(250);
    /// After this long without a response a token request is retried.
    absl::Duration m_ResponseTimeout = absl::Milliseconds(200);
  };

  explicit GrantedTokens(const Options &Settings) : m_Settings(Settings) {}

  /// Takes one token if one is held that has not expired.
  [[nodiscard]] std::optional<TakenToken> take(absl::Time Now);

  [[nodiscard]] std::int64_t held() const {
    return m_Tokens.load(std::memory_order_relaxed);
  }

  /// \returns whether to request tokens although no call waits for one.
  [[nodiscard]] bool isLow() const {
    std::int64_t Watermark = m_LowWatermark.load(std::memory_order_relaxed);
    return Watermark > 0 && held() <= Watermark;
  }

  /// Begins a token request; the previous one is abandoned. \p Burst is the
  /// customer's.
  [[nodiscard]] TokenRequest ask(std::uint64_t Epoch, double Needed,
                                 double Burst, absl::Time Now);

  /// Begins a token request that returns all held tokens.
  [[nodiscard]] TokenRequest giveBack(std::uint64_t Epoch, absl::Time Now);

  /// Applies the grant that answers the pending request. Any other grant is
  /// ignored.
  /// \returns whether it was applied.
  bool onGrant(std::uint64_t Epoch, const TokenGrant &Given, absl::Time Now);

  /// \returns whether a request is pending that has not timed out.
  [[nodiscard]] bool isRequestPending(absl::Time Now) const;

  /// Updates the demand estimate. Call it several times a second.
  void tick(absl::Time Now);

  /// \returns whether tokens are held of which none was spent lately.
  [[nodiscard]] bool isIdle(absl::Time Now) const;

  [[nodiscard]] double demandPerSecond() const { return m_Demand; }

private:
  [[nodiscard]] TokenRequest beginRequest(std::uint64_t Epoch, absl::Time Now);
  void discardAll();
  void discardExpired(absl::Time Now);
  [[nodiscard]] std::int64_t spent() const;
  [[nodiscard]] absl::Time expires() const;

  Options m_Settings;
  std::atomic<std::int64_t> m_Tokens{0};
  std::atomic<std::int64_t> m_LowWatermark{0};
  std::atomic<std::int64_t> m_ExpiresNanos{0}; ///< Since the Unix epoch.
  std::atomic<std::uint64_t> m_Epoch{0};

  std::int64_t m_Received = 0;  ///< Total.
  std::int64_t m_Discarded = 0; ///< Total received and never spent.
  std::uint64_t m_Sequence = 0;
  bool m_HasRequest = false;
  absl::Time m_RequestedAt;
  double m_Demand = 0;
  std::int64_t m_DemandSpent = 0;
  absl::Time m_DemandUpdatedAt = absl::InfinitePast();
  absl::Time m_SpentAt = absl::InfinitePast();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_GRANTEDTOKENS_H
