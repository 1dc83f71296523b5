#ifndef KNAPWEEDLOFT_POLICY_BACKOFF_H
#define KNAPWEEDLOFT_POLICY_BACKOFF_H

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Exponential backoff with full jitter: the delay is drawn uniformly between
/// zero and a bound that doubles with each attempt, so that callers that failed
/// together do not retry together.
class Backoff {
public:
  struct Options {
    absl::Duration m_Base = absl::Milliseconds(10);
    absl::Duration m_Max = absl::Seconds(1);
  };

  /// \throws PolicyError if the base is negative or above the maximum.
  explicit Backoff(const Options &Settings);

  /// \returns the delay before attempt \p Attempt, where 2 is the first retry.
  [[nodiscard]] absl::Duration delayBefore(int Attempt,
                                           absl::BitGenRef Random) const;

private:
  Options m_Settings;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_BACKOFF_H
