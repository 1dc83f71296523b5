#ifndef KNAPWEEDLOFT_POLICY_CLOCKOFFSET_H
#define KNAPWEEDLOFT_POLICY_CLOCKOFFSET_H

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Estimates a peer's monotonic clock from the send times in its messages.
///
/// The minimum difference between receive and send time is the offset of the
/// clocks plus the shortest transit time seen. A message whose difference is
/// larger was delayed by the excess. The minimum is raised at the drift ratio,
/// so that the estimate follows clocks that run at different speeds.
///
/// \code
///   Offset.onSample(Beat.SentAt, Now);
///   absl::Time PeerNow = Offset.peerNow(Now); // never ahead of the peer's
/// \endcode
class ClockOffset {
public:
  explicit ClockOffset(double DriftRatio = 0.001) : m_DriftRatio(DriftRatio) {}

  /// A message that was sent at \p SentAt by the peer's clock was received at
  /// \p Now.
  void onSample(absl::Time SentAt, absl::Time Now);

  [[nodiscard]] bool isKnown() const { return m_IsKnown; }

  /// \returns the peer's clock at \p Now, behind its true value by at most the
  /// shortest transit time. InfiniteFuture before the first sample, so that
  /// anything with an expiry counts as expired.
  [[nodiscard]] absl::Time peerNow(absl::Time Now) const;

  /// \returns by how much the transit of a message sent at \p SentAt exceeded
  /// the shortest one; zero before the first sample.
  [[nodiscard]] absl::Duration delayOf(absl::Time SentAt, absl::Time Now) const;

private:
  [[nodiscard]] absl::Duration minDifferenceAt(absl::Time Now) const;

  double m_DriftRatio;
  bool m_IsKnown = false;
  absl::Duration m_MinDifference; ///< Minimum of receive time less send time.
  absl::Time m_MinDifferenceAt;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_CLOCKOFFSET_H
