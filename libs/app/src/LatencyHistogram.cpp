#include "app/LatencyHistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweedloft::app {
namespace {

constexpr double FirstBoundMicroseconds = 100;
constexpr double BucketsPerDoubling = 4;

} // namespace

absl::Duration LatencyHistogram::bound(std::size_t Bucket) {
  if (Bucket + 1 >= BucketCount)
    return absl::InfiniteDuration();
  return absl::Microseconds(
      FirstBoundMicroseconds *
      std::exp2(static_cast<double>(Bucket) / BucketsPerDoubling));
}

void LatencyHistogram::add(absl::Duration Latency) {
  double Microseconds = absl::ToDoubleMicroseconds(Latency);
  double Steps = std::ceil(
      std::log2(std::max(Microseconds / FirstBoundMicroseconds, 1.0)) *
      BucketsPerDoubling);
  auto Bucket = std::min(static_cast<std::size_t>(Steps), BucketCount - 1);
  ++m_Counts[Bucket];
}

void LatencyHistogram::merge(const LatencyHistogram &Other) {
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket)
    m_Counts[Bucket] += Other.m_Counts[Bucket];
}

std::uint64_t LatencyHistogram::total() const {
  return std::accumulate(m_Counts.begin(), m_Counts.end(), std::uint64_t{0});
}

absl::Duration LatencyHistogram::quantile(double Share) const {
  std::uint64_t Total = total();
  if (Total == 0)
    return absl::ZeroDuration();
  auto Rank =
      static_cast<std::uint64_t>(std::ceil(Share * static_cast<double>(Total)));
  Rank = std::max<std::uint64_t>(Rank, 1);
  std::uint64_t Below = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    Below += m_Counts[Bucket];
    if (Below >= Rank)
      return bound(Bucket);
  }
  return absl::InfiniteDuration();
}

} // namespace knapweedloft::app
