#ifndef KNAPWEEDLOFT_POLICY_TOKENBUCKET_H
#define KNAPWEEDLOFT_POLICY_TOKENBUCKET_H

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// A token bucket whose tokens accrue at a constant rate up to a burst.
///
/// The bucket starts empty, so that an instance that lost its state never
/// grants a burst twice. Tokens that were granted and may still be spent
/// elsewhere are reserved: the bucket then fills up to the burst less these.
/// A clock that goes back adds no tokens. Not thread-safe.
///
/// \code
///   TokenBucket Bucket({.m_RatePerSecond = 50, .m_Burst = 100}, Now);
///   if (!Bucket.tryTake(1, Now))
///     return refuse(Refusal::OverRate, Bucket.waitFor(1, Now));
/// \endcode
class TokenBucket {
public:
  struct Options {
    double m_RatePerSecond; ///< Tokens per second; more than 0.
    double m_Burst;         ///< Maximum number of tokens; at least 1.

    friend bool operator==(const Options &, const Options &) = default;
  };

  /// \throws PolicyError if the rate or the burst is out of range.
  TokenBucket(const Options &Limits, absl::Time Now);

  /// Takes \p Count tokens or none.
  /// \returns whether they were taken.
  [[nodiscard]] bool tryTake(double Count, absl::Time Now);

  /// \returns the time until \p Count tokens are available, zero if they are
  /// now, infinite if \p Count exceeds what the bucket may hold.
  [[nodiscard]] absl::Duration waitFor(double Count, absl::Time Now) const;

  [[nodiscard]] double level(absl::Time Now) const { return tokensAt(Now); }

  /// Accrues up to \p Now, then limits the bucket to the burst less
  /// \p Reserved. Tokens above that limit are lost.
  void reserve(double Reserved, absl::Time Now);

  /// Returns \p Count tokens to the bucket, up to the limit.
  void putBack(double Count, absl::Time Now);

  /// Accrues up to \p Now under the previous limits, then applies \p Limits.
  /// \throws PolicyError if the rate or the burst is out of range.
  void setLimits(const Options &Limits, absl::Time Now);

  [[nodiscard]] const Options &limits() const { return m_Limits; }

private:
  [[nodiscard]] double capacity() const;
  [[nodiscard]] double tokensAt(absl::Time Now) const;
  void accrue(absl::Time Now);

  Options m_Limits;
  double m_Tokens = 0;
  double m_Reserved = 0;
  absl::Time m_Updated;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TOKENBUCKET_H
