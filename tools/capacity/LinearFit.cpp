#include "LinearFit.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::capacity {

LinearFit fitLine(const std::vector<Sample> &Samples) {
  auto Count = static_cast<double>(Samples.size());
  double SizeSum = 0;
  double CostSum = 0;
  for (const Sample &Each : Samples) {
    SizeSum += Each.m_Size;
    CostSum += Each.m_Cost;
  }
  double SizeMean = SizeSum / Count;
  double CostMean = CostSum / Count;
  double Covariance = 0;
  double Variance = 0;
  for (const Sample &Each : Samples) {
    Covariance += (Each.m_Size - SizeMean) * (Each.m_Cost - CostMean);
    Variance += (Each.m_Size - SizeMean) * (Each.m_Size - SizeMean);
  }
  LinearFit Line;
  Line.m_Slope = Covariance / Variance;
  Line.m_Intercept = CostMean - Line.m_Slope * SizeMean;
  for (const Sample &Each : Samples) {
    double Distance = std::abs(Each.m_Cost - Line.at(Each.m_Size));
    if (Each.m_Cost != 0)
      Line.m_Spread = std::max(Line.m_Spread, Distance / std::abs(Each.m_Cost));
  }
  return Line;
}

double extrapolate(const LinearFit &Line, const std::vector<Sample> &Samples,
                   double Size) {
  return std::max(Line.at(Size), Samples.back().m_Cost);
}

} // namespace knapweedloft::capacity
