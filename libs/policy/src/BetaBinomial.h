#ifndef KNAPWEEDLOFT_POLICY_BETABINOMIAL_H
#define KNAPWEEDLOFT_POLICY_BETABINOMIAL_H

#include <cstdint>

namespace knapweedloft::policy {

/// A share that is known from a number of observations only.
struct ObservedShare {
  double m_Share = 0;
  double m_Observations = 0;
};

/// \returns the probability that at least \p Hits of \p Tries hit, if they hit
/// with the share that was observed elsewhere. Exact tail of the beta-binomial
/// distribution, with a uniform prior: few observations make it wide. Stops at
/// \p Enough, above which the caller does not need the value.
[[nodiscard]] double tailProbability(std::uint64_t Hits, std::uint64_t Tries,
                                     ObservedShare Expected, double Enough);

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_BETABINOMIAL_H
