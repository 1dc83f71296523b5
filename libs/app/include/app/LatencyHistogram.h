#ifndef KNAPWEEDLOFT_APP_LATENCYHISTOGRAM_H
#define KNAPWEEDLOFT_APP_LATENCYHISTOGRAM_H

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweedloft::app {

/// Exact counts of latencies in buckets whose bounds grow by a quarter of a
/// power of two. Two histograms merge by adding counts, so a quantile over
/// many daemons is that of all their requests and never a mean of quantiles.
class LatencyHistogram {
public:
  /// Bounds run from 100 us to 105 s; the last bucket has no bound.
  static constexpr std::size_t BucketCount = 82;

  void add(absl::Duration Latency);
  void merge(const LatencyHistogram &Other);

  /// \returns the upper bound of the bucket that holds the quantile \p Share
  /// (0 to 1); zero if there are no counts. Off by at most 19%.
  [[nodiscard]] absl::Duration quantile(double Share) const;

  [[nodiscard]] std::uint64_t total() const;
  [[nodiscard]] std::uint64_t count(std::size_t Bucket) const {
    return m_Counts[Bucket];
  }
  void setCount(std::size_t Bucket, std::uint64_t Count) {
    m_Counts[Bucket] = Count;
  }

  /// \returns the upper bound of \p Bucket, infinite for the last.
  [[nodiscard]] static absl::Duration bound(std::size_t Bucket);

private:
  std::array<std::uint64_t, BucketCount> m_Counts{};
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_LATENCYHISTOGRAM_H
