#ifndef KNAPWEEDLOFT_POLICY_WEIGHTEDROUNDROBIN_H
#define KNAPWEEDLOFT_POLICY_WEIGHTEDROUNDROBIN_H

#include <cstddef>
#include <span>
#include <vector>

namespace knapweedloft::policy {

/// Smooth weighted round robin, as in many load balancers: distributes requests
/// by weight, so that every sequence of requests is split as evenly as whole
/// numbers allow. Not thread-safe.
class WeightedRoundRobin {
public:
  /// Weights of 0 or less get nothing. \p Offset, in [0, 1), shifts the start
  /// of the rotation, so that many instances do not all begin with the same
  /// index.
  explicit WeightedRoundRobin(std::span<const double> Weights,
                              double Offset = 0);

  /// \returns the index of the weight whose turn it is; 0 if none is positive.
  [[nodiscard]] std::size_t next();

private:
  std::vector<double> m_Weights;
  std::vector<double> m_Credits;
  double m_Total = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_WEIGHTEDROUNDROBIN_H
