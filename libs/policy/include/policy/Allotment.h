#ifndef KNAPWEEDLOFT_POLICY_ALLOTMENT_H
#define KNAPWEEDLOFT_POLICY_ALLOTMENT_H

#include "policy/RateKeeper.h"

#include "absl/time/time.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace knapweedloft::policy {

/// A token that was taken, and how long it may be spent.
struct TakenToken {
  std::uint64_t m_Epoch = 0;
  absl::Time m_Expires;
};

/// The tokens of one customer that a daemon holds.
///
/// take() may be called from any thread. All other functions belong to one
/// thread, which asks the keeper and takes its grants. One atomic counts the
/// tokens, so what is reported as held and as spent agree at any moment.
///
/// \code
///   if (auto Token = Held.take(Now))
///     return forward(*Token);
///   sendToKeeper(Held.ask(Needed, Now));
/// \endcode
class Allotment {
public:
  struct Options {
    /// Demand of this long is asked for ahead.
    absl::Duration m_Ahead = absl::Milliseconds(100);
    /// Part of the burst that is held ahead at most.
    double m_BurstShare = 0.125;
    /// Time constant of the estimate of demand.
    absl::Duration m_DemandWindow = absl::Milliseconds(500);
    /// An unused allotment is given back after this long.
    absl::Duration m_IdleAfter = absl::Milliseconds(250);
    /// An ask without an answer is repeated after this long.
    absl::Duration m_AnswerWithin = absl::Milliseconds(200);
  };

  explicit Allotment(const Options &Settings) : m_Settings(Settings) {}

  /// Takes one token if one is held that has not lapsed.
  [[nodiscard]] std::optional<TakenToken> take(absl::Time Now);

  [[nodiscard]] std::int64_t held() const {
    return m_Tokens.load(std::memory_order_relaxed);
  }

  /// \returns whether tokens should be asked for although no call waits.
  [[nodiscard]] bool isLow() const {
    std::int64_t Mark = m_LowMark.load(std::memory_order_relaxed);
    return Mark > 0 && held() <= Mark;
  }

  /// Begins an ask; the one before it is given up. \p Burst is the customer's.
  [[nodiscard]] TokenAsk ask(std::uint64_t Epoch, double Needed, double Burst,
                             absl::Time Now);

  /// Begins an ask that gives everything back.
  [[nodiscard]] TokenAsk giveBack(std::uint64_t Epoch, absl::Time Now);

  /// Takes the answer to the ask under way. Any other is ignored.
  /// \returns whether it was taken.
  bool onGrant(std::uint64_t Epoch, const TokenGrant &Given, absl::Time Now);

  /// \returns whether an ask waits for its answer.
  [[nodiscard]] bool isAsking(absl::Time Now) const;

  /// Updates the estimate of demand. Call it some times a second.
  void tick(absl::Time Now);

  /// \returns whether tokens are held that nobody takes.
  [[nodiscard]] bool isIdle(absl::Time Now) const;

  [[nodiscard]] double demandPerSecond() const { return m_Demand; }

private:
  [[nodiscard]] TokenAsk beginAsk(std::uint64_t Epoch, absl::Time Now);
  void removeAll();
  void lapse(absl::Time Now);
  [[nodiscard]] std::int64_t spent() const;
  [[nodiscard]] absl::Time expires() const;

  Options m_Settings;
  std::atomic<std::int64_t> m_Tokens{0};
  std::atomic<std::int64_t> m_LowMark{0};
  std::atomic<std::int64_t> m_ExpiresNanos{0}; ///< Since the Unix epoch.
  std::atomic<std::uint64_t> m_Epoch{0};

  std::int64_t m_Received = 0; ///< In all.
  std::int64_t m_Removed = 0;  ///< Received and never spent, in all.
  std::uint64_t m_Sequence = 0;
  bool m_IsAsking = false;
  absl::Time m_AskedAt;
  double m_Demand = 0;
  std::int64_t m_DemandSpent = 0;
  absl::Time m_DemandAt = absl::InfinitePast();
  absl::Time m_UsedAt = absl::InfinitePast();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ALLOTMENT_H
