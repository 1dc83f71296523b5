#ifndef KNAPWEEDLOFT_FAULTS_LIMITER_H
#define KNAPWEEDLOFT_FAULTS_LIMITER_H

#include "policy/RunOutcome.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace knapweedloft::faults {

/// A way to limit concurrency, as hooks, so that ways can be compared.
struct Limiter {
  std::string m_Name;
  std::function<double()> m_Current;
  std::function<void(std::uint32_t Running, absl::Time Now)> m_OnStart;
  std::function<void(std::uint32_t Running, policy::RunOutcome Outcome,
                     absl::Duration Latency, absl::Time Now)>
      m_OnFinish;
};

/// The limit of the product.
[[nodiscard]] Limiter throughputLimiter(absl::Time Now);
[[nodiscard]] Limiter fixedLimiter(std::string Name, double Limit);
/// Adds one in each round trip while the latency is below twice the least ever
/// seen, takes off a tenth where it is above.
[[nodiscard]] Limiter aimdLimiter();
/// The ratio of a long to a short mean of the latency scales the limit
/// (Netflix concurrency-limits, Gradient2).
[[nodiscard]] Limiter gradientLimiter();

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_LIMITER_H
