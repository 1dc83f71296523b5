#include "policy/RouteCounts.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {

namespace {

constexpr double BucketsPerOctave = 2;
/// Keeps a bound in its own bucket in spite of rounding.
constexpr double RoundingTolerance = 1e-6;

} // namespace

std::size_t RouteCounts::bucketOf(absl::Duration Latency) {
  double Milliseconds = absl::ToDoubleMilliseconds(Latency);
  if (!(Milliseconds > 1))
    return 0;
  double Bucket =
      std::ceil(BucketsPerOctave * std::log2(Milliseconds) - RoundingTolerance);
  double Last = BucketCount - 1;
  return static_cast<std::size_t>(std::clamp(Bucket, 0.0, Last));
}

absl::Duration RouteCounts::upperBoundOf(std::size_t Bucket) {
  if (Bucket + 1 >= BucketCount)
    return absl::InfiniteDuration();
  return absl::Milliseconds(
      std::exp2(static_cast<double>(Bucket) / BucketsPerOctave));
}

} // namespace knapweedloft::policy
