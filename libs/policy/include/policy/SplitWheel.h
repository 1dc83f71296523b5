#ifndef KNAPWEEDLOFT_POLICY_SPLITWHEEL_H
#define KNAPWEEDLOFT_POLICY_SPLITWHEEL_H

#include <cstddef>
#include <span>
#include <vector>

namespace knapweedloft::policy {

/// Distributes requests over parts by weight, so that every run of requests is
/// split as evenly as whole numbers allow (smooth weighted round robin, as in
/// many load balancers). Not thread-safe.
class SplitWheel {
public:
  /// Weights of 0 or less get nothing. \p Offset turns the wheel at first, so
  /// that many wheels do not begin with the same part; in [0, 1).
  explicit SplitWheel(std::span<const double> Weights, double Offset = 0);

  /// \returns the index of the part that is next; 0 if no weight is positive.
  [[nodiscard]] std::size_t next();

private:
  std::vector<double> m_Weights;
  std::vector<double> m_Credits;
  double m_Total = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_SPLITWHEEL_H
