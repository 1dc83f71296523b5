#ifndef KNAPWEEDLOFT_EXPERIMENT_PAIREDDIFFERENCE_H
#define KNAPWEEDLOFT_EXPERIMENT_PAIREDDIFFERENCE_H

#include <cstddef>
#include <vector>

namespace knapweedloft::experiment {

/// Mean of the differences of pairs, with the interval that holds it at 95 %,
/// by the bootstrap over pairs.
struct PairedDifference {
  std::size_t m_Pairs = 0;
  double m_Mean = 0;
  double m_Low = 0;
  double m_High = 0;

  /// \returns whether the interval is on one side of 0.
  [[nodiscard]] bool isClear() const { return m_Low > 0 || m_High < 0; }
};

/// The same differences give the same interval. A single pair has none: both
/// ends are the mean.
[[nodiscard]] PairedDifference
pairedDifferenceOf(const std::vector<double> &Differences);

} // namespace knapweedloft::experiment

#endif // KNAPWEEDLOFT_EXPERIMENT_PAIREDDIFFERENCE_H
