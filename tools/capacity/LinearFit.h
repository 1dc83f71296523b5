#ifndef KNAPWEEDLOFT_CAPACITY_LINEARFIT_H
#define KNAPWEEDLOFT_CAPACITY_LINEARFIT_H

#include <vector>

namespace knapweedloft::capacity {

/// One measurement: a cost at a size.
struct Sample {
  double m_Size = 0;
  double m_Cost = 0;
};

/// A straight line through measurements, by least squares.
struct LinearFit {
  double m_Intercept = 0;
  double m_Slope = 0;
  /// Largest distance of a sample from the line, as a share of its cost.
  double m_Spread = 0;

  [[nodiscard]] double at(double Size) const {
    return m_Intercept + m_Slope * Size;
  }
};

/// Needs two samples of different size at least.
[[nodiscard]] LinearFit fitLine(const std::vector<Sample> &Samples);

/// \returns the cost at \p Size, but no less than that of the largest sample:
/// a cost that still falls towards a constant must not be drawn on downwards.
[[nodiscard]] double extrapolate(const LinearFit &Line,
                                 const std::vector<Sample> &Samples,
                                 double Size);

} // namespace knapweedloft::capacity

#endif // KNAPWEEDLOFT_CAPACITY_LINEARFIT_H
