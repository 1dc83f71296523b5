#include "policy/WeightedRoundRobin.h"

#include <algorithm>
#include <numeric>

namespace knapweedloft::policy {

WeightedRoundRobin::WeightedRoundRobin(std::span<const double> Weights,
                                       double Offset)
    : m_Weights(Weights.begin(), Weights.end()), m_Credits(Weights.size()) {
  for (double &Weight : m_Weights)
    Weight = std::max(Weight, 0.0);
  m_Total = std::accumulate(m_Weights.begin(), m_Weights.end(), 0.0);
  // The credits sum to 0 with any offset, so no index gains in the long run.
  if (m_Credits.size() > 1) {
    m_Credits.front() = -Offset * m_Total;
    m_Credits.back() = Offset * m_Total;
  }
}

std::size_t WeightedRoundRobin::next() {
  if (m_Total <= 0)
    return 0;
  for (std::size_t Index = 0; Index < m_Weights.size(); ++Index)
    m_Credits[Index] += m_Weights[Index];
  auto Best = std::max_element(m_Credits.begin(), m_Credits.end());
  *Best -= m_Total;
  return static_cast<std::size_t>(Best - m_Credits.begin());
}

} // namespace knapweedloft::policy
