#ifndef KNAPWEEDLOFT_APP_OBJECTIVE_H
#define KNAPWEEDLOFT_APP_OBJECTIVE_H

#include "absl/time/time.h"

namespace knapweedloft::app {

/// What the service level promises to each customer on each route.
struct Objective {
  double m_SuccessShare = 0.999; ///< Of requests that count; below 1.
  absl::Duration m_Latency = absl::Milliseconds(500);
  double m_LatencyShare = 0.99; ///< Of successes that are no slower.

  bool operator==(const Objective &) const = default;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_OBJECTIVE_H
