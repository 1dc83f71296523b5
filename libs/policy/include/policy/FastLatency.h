#ifndef KNAPWEEDLOFT_POLICY_FASTLATENCY_H
#define KNAPWEEDLOFT_POLICY_FASTLATENCY_H

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Estimates the latency that only a tenth of the runs stay below: less than
/// this is hardly ever enough. Moves by a share of itself with each run, up or
/// down, so that both balance at the quantile; needs no memory of runs.
class FastLatency {
public:
  void observe(absl::Duration Latency);

  /// \returns zero before the first run.
  [[nodiscard]] absl::Duration estimate() const;

private:
  double m_Seconds = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FASTLATENCY_H
