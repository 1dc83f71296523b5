#ifndef KNAPWEEDLOFT_POLICY_CLOCKOFFSET_H
#define KNAPWEEDLOFT_POLICY_CLOCKOFFSET_H

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Estimates a peer's monotonic clock from the times it sends.
///
/// The least difference between arrival and sending time is the offset of the
/// clocks plus the shortest way seen. Later messages that take longer than it
/// were held up by just that much. The least difference rises at the drift
/// ratio, so that two clocks of different speed do not part from it.
///
/// \code
///   Offset.onSample(Beat.SentAt, Now);
///   absl::Time PeerNow = Offset.peerNow(Now); // never ahead of the peer's
/// \endcode
class ClockOffset {
public:
  explicit ClockOffset(double DriftRatio = 0.001) : m_DriftRatio(DriftRatio) {}

  /// A message that was sent at \p SentAt on the peer's clock arrived at
  /// \p Now.
  void onSample(absl::Time SentAt, absl::Time Now);

  [[nodiscard]] bool isKnown() const { return m_IsKnown; }

  /// \returns the peer's clock at \p Now, behind its true value by at most the
  /// shortest way. Infinitely far ahead while nothing is known, so that what
  /// has an expiry counts as expired.
  [[nodiscard]] absl::Time peerNow(absl::Time Now) const;

  /// \returns how much longer than the shortest way a message took that was
  /// sent at \p SentAt; zero while nothing is known.
  [[nodiscard]] absl::Duration delayOf(absl::Time SentAt, absl::Time Now) const;

private:
  [[nodiscard]] absl::Duration leastAt(absl::Time Now) const;

  double m_DriftRatio;
  bool m_IsKnown = false;
  absl::Duration m_Least; ///< Least of arrival less sending time.
  absl::Time m_LeastAt;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_CLOCKOFFSET_H
