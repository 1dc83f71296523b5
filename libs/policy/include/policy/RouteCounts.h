#ifndef KNAPWEEDLOFT_POLICY_ROUTECOUNTS_H
#define KNAPWEEDLOFT_POLICY_ROUTECOUNTS_H

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedloft::policy {

/// What one target answered to the requests of one route, counted from the
/// order of a roll-out on. Durations are counted in buckets of half an octave:
/// the first holds those up to a millisecond, the last all that are longer.
struct RouteCounts {
  static constexpr std::size_t BucketCount = 32;

  std::string m_Route;
  std::uint64_t m_Answers = 0;  ///< Failures included.
  std::uint64_t m_Failures = 0; ///< Errors and answers that did not come whole.
  std::array<std::uint32_t, BucketCount> m_Latencies{}; ///< Of successes.

  /// \returns the bucket of a duration.
  [[nodiscard]] static std::size_t bucketOf(absl::Duration Latency);
  /// \returns the longest duration that a bucket holds.
  [[nodiscard]] static absl::Duration upperBoundOf(std::size_t Bucket);
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ROUTECOUNTS_H
