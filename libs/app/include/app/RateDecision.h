#ifndef KNAPWEEDLOFT_APP_RATEDECISION_H
#define KNAPWEEDLOFT_APP_RATEDECISION_H

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::app {

/// Whether a call may be spent from its customer's rate.
struct RateDecision {
  bool m_IsGranted = false;
  std::uint64_t m_Epoch = 0; ///< Of the keeper that granted; 0 without a rate.
  /// Until when the target side takes the call, on this daemon's monotonic
  /// clock; infinite without a rate.
  absl::Time m_Expires = absl::InfiniteFuture();
  absl::Duration m_RetryAfter; ///< Of a refusal.
  /// The refusal is not the customer's doing: no keeper grants at present.
  bool m_IsKeeperAway = false;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_RATEDECISION_H
