#ifndef KNAPWEEDLOFT_BENCH_LATENCIES_H
#define KNAPWEEDLOFT_BENCH_LATENCIES_H

#include "absl/time/time.h"

#include <vector>

namespace knapweedloft::bench {

/// Latencies of several rounds, taken together.
class Latencies {
public:
  void add(const std::vector<absl::Duration> &Round);

  /// \returns the latency in microseconds that the share \p Quantile is at
  /// most; 0 without any.
  [[nodiscard]] double quantile(double Quantile) const;

private:
  std::vector<absl::Duration> m_Sorted;
};

} // namespace knapweedloft::bench

#endif // KNAPWEEDLOFT_BENCH_LATENCIES_H
