#include "Sheet.h"

#include "fmt/format.h"

namespace knapweedloft::capacity {

LinearFit Sheet::slope(const std::string &Name, const std::string &Size,
                       const std::vector<Sample> &Samples) {
  LinearFit Line = fitLine(Samples);
  fmt::print("slope {:<34} {:>12.4g} + {:.4g} a {} (spread {:.1f}%)\n", Name,
             Line.m_Intercept, Line.m_Slope, Size, 100 * Line.m_Spread);
  for (const Sample &Each : Samples)
    fmt::print("      {:>8.0f} {:<12} {:.5g}\n", Each.m_Size, Size,
               Each.m_Cost);
  return Line;
}

void Sheet::row(const std::string &Name, double Value, const std::string &Unit,
                double AtMost) {
  bool IsOk = Value <= AtMost;
  ++m_Rows;
  m_Short += IsOk ? 0 : 1;
  fmt::print("row   {:<34} {:>12.4g} {:<8} target <= {:<10.4g} {}\n", Name,
             Value, Unit, AtMost, IsOk ? "ok" : "short");
}

void Sheet::note(const std::string &Name, double Value,
                 const std::string &Unit) {
  fmt::print("note  {:<34} {:>12.4g} {}\n", Name, Value, Unit);
}

} // namespace knapweedloft::capacity
