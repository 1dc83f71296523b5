#include "bench/Latencies.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::bench {

void Latencies::add(const std::vector<absl::Duration> &Round) {
  m_Sorted.insert(m_Sorted.end(), Round.begin(), Round.end());
  std::sort(m_Sorted.begin(), m_Sorted.end());
}

double Latencies::quantile(double Quantile) const {
  if (m_Sorted.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Quantile * static_cast<double>(m_Sorted.size())));
  Rank = std::clamp<std::size_t>(Rank, 1, m_Sorted.size());
  return absl::ToDoubleMicroseconds(m_Sorted[Rank - 1]);
}

} // namespace knapweedloft::bench
