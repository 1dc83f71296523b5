#ifndef KNAPWEEDLOFT_POLICY_GRANTLIFETIME_H
#define KNAPWEEDLOFT_POLICY_GRANTLIFETIME_H

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// The lifetime of granted tokens, by the clocks of both sides.
///
/// The grantee counts from before its request and the lease holder from after
/// its response, with a margin for clocks that run at different speeds. So the
/// lease holder never takes a token for expired that the grantee can still
/// spend (Gray and Cheriton, "Leases", SOSP 1989).
struct GrantLifetime {
  absl::Duration m_Lifetime = absl::Seconds(1);
  /// Maximum relative difference in speed of two monotonic clocks.
  double m_DriftRatio = 0.001;
  /// Error of a receiver's estimate of the sender's clock.
  absl::Duration m_Margin = absl::Milliseconds(100);

  [[nodiscard]] absl::Time granteeExpiry(absl::Time RequestedAt) const {
    return RequestedAt + m_Lifetime;
  }

  [[nodiscard]] absl::Time leaseHolderExpiry(absl::Time AnsweredAt) const {
    return AnsweredAt + m_Lifetime * (1 + m_DriftRatio) + m_Margin;
  }

  /// \returns how long a new lease holder waits after its claim, until no grant
  /// of its predecessor can be spent any more. The predecessor stops granting
  /// at most \p StopsWithin after the claim.
  [[nodiscard]] absl::Duration takeoverWait(absl::Duration StopsWithin) const {
    return (StopsWithin + m_Lifetime) * (1 + m_DriftRatio) + m_Margin;
  }
};

/// The token spent on a forward, as the forward states it.
struct SpentGrant {
  std::uint64_t m_Epoch = 0;
  absl::Time m_Expires; ///< By the sender's monotonic clock.
};

/// \returns whether a receiver must refuse a forward with \p Spent: the token
/// has expired, or a later epoch is known. \p SenderNow is the receiver's
/// estimate of the sender's clock; see ClockOffset.
[[nodiscard]] inline bool isStaleGrant(const SpentGrant &Spent,
                                       std::uint64_t KnownEpoch,
                                       absl::Time SenderNow) {
  return Spent.m_Epoch < KnownEpoch || SenderNow >= Spent.m_Expires;
}

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_GRANTLIFETIME_H
