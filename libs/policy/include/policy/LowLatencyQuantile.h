#ifndef KNAPWEEDLOFT_POLICY_LOWLATENCYQUANTILE_H
#define KNAPWEEDLOFT_POLICY_LOWLATENCYQUANTILE_H

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Estimates the 10 % quantile of latency, which is what a run needs at least:
/// less time is hardly ever enough. Each run moves the estimate up or down by a
/// share of its value, so that both balance at the quantile; no samples are
/// stored.
class LowLatencyQuantile {
public:
  void observe(absl::Duration Latency);

  /// \returns the quantile, or zero before the first run.
  [[nodiscard]] absl::Duration estimate() const;

private:
  double m_Seconds = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_LOWLATENCYQUANTILE_H
