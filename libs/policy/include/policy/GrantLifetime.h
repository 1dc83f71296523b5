#ifndef KNAPWEEDLOFT_POLICY_GRANTLIFETIME_H
#define KNAPWEEDLOFT_POLICY_GRANTLIFETIME_H

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// How long granted tokens live, on the clocks of both ends.
///
/// The holder counts from before it asked and the keeper from after it
/// answered, with a margin for clocks that run at different speeds. So the
/// keeper never takes a token for lapsed that its holder can still spend
/// (Gray and Cheriton, "Leases", SOSP 1989).
struct GrantLifetime {
  absl::Duration m_Lifetime = absl::Seconds(1);
  /// Relative difference in speed that two monotonic clocks may have.
  double m_DriftRatio = 0.001;
  /// Error of a receiver's estimate of the sender's clock.
  absl::Duration m_Margin = absl::Milliseconds(100);

  [[nodiscard]] absl::Time holderExpiry(absl::Time AskedAt) const {
    return AskedAt + m_Lifetime;
  }

  [[nodiscard]] absl::Time keeperExpiry(absl::Time AnsweredAt) const {
    return AnsweredAt + m_Lifetime * (1 + m_DriftRatio) + m_Margin;
  }

  /// \returns how long a new keeper waits, from its claim on, until no grant
  /// of a keeper can be spent that stopped at most \p StopsWithin later.
  [[nodiscard]] absl::Duration takeoverWait(absl::Duration StopsWithin) const {
    return (StopsWithin + m_Lifetime) * (1 + m_DriftRatio) + m_Margin;
  }
};

/// What a forward says about the token that was spent on it.
struct SpentGrant {
  std::uint64_t m_Epoch = 0;
  absl::Time m_Expires; ///< On the sender's monotonic clock.
};

/// \returns whether a receiver must refuse a forward with \p Spent: the token
/// has lapsed, or a later keeper is known. \p SenderNow is the receiver's
/// estimate of the sender's clock; see ClockOffset.
[[nodiscard]] inline bool isStaleGrant(const SpentGrant &Spent,
                                       std::uint64_t KnownEpoch,
                                       absl::Time SenderNow) {
  return Spent.m_Epoch < KnownEpoch || SenderNow >= Spent.m_Expires;
}

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_GRANTLIFETIME_H
