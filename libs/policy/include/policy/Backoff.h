#ifndef KNAPWEEDLOFT_POLICY_BACKOFF_H
#define KNAPWEEDLOFT_POLICY_BACKOFF_H

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Waits between attempts: drawn evenly between zero and a bound that doubles
/// with each attempt ("full jitter"), so that callers that failed together do
/// not come back together.
class Backoff {
public:
  struct Options {
    absl::Duration m_Base = absl::Milliseconds(10);
    absl::Duration m_Max = absl::Seconds(1);
  };

  /// \throws PolicyError if a duration is negative or the base above the max.
  explicit Backoff(const Options &Settings);

  /// \returns the wait before attempt \p Attempt; 2 is the first retry.
  [[nodiscard]] absl::Duration waitBefore(int Attempt,
                                          absl::BitGenRef Random) const;

private:
  Options m_Settings;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_BACKOFF_H
