#include "TransferCosts.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Weight of a new measure in the moving averages.
constexpr double Smoothing = 0.05;
/// Age at which a measured way has half its weight.
constexpr absl::Duration WayHalfLife = absl::Seconds(5);

} // namespace

void TransferCosts::onAnswer(const std::string &DataCenter, absl::Duration Way,
                             std::size_t Bytes, absl::Time Now) {
  Way = std::max(Way, absl::ZeroDuration());
  auto [Found, IsNew] = m_Ways.try_emplace(DataCenter, Measure{Way, Now});
  Measure &Known = Found->second;
  if (!IsNew)
    Known.m_Way += Smoothing * (Way - Known.m_Way);
  Known.m_At = Now;
  auto Size = static_cast<double>(Bytes);
  m_MeanBytes =
      m_MeanBytes > 0 ? m_MeanBytes + Smoothing * (Size - m_MeanBytes) : Size;
}

absl::Duration TransferCosts::addedTime(const std::string &DataCenter,
                                        const std::string &Home,
                                        absl::Duration Assumed,
                                        absl::Time Now) const {
  auto Found = m_Ways.find(DataCenter);
  if (Found == m_Ways.end())
    return Assumed;
  auto Near = m_Ways.find(Home);
  absl::Duration Base =
      Near == m_Ways.end() ? absl::ZeroDuration() : Near->second.m_Way;
  absl::Duration Added =
      std::max(Found->second.m_Way - Base, absl::ZeroDuration());
  double Weight =
      std::exp2(-absl::FDivDuration(Now - Found->second.m_At, WayHalfLife));
  return Weight * Added + (1 - Weight) * std::min(Assumed, Added);
}

} // namespace knapweedloft::policy
