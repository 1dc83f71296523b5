#include "CustomerRates.h"

#include <algorithm>

namespace knapweedloft::faults {
namespace {

/// What a customer may send at once, as the time its rate takes for it.
constexpr absl::Duration BurstLength = absl::Seconds(2);

} // namespace

CustomerRates::CustomerRates(const Deployment &Spec, double PlannedLoad,
                             absl::Time Now) {
  double Total = 0;
  for (const RouteSpec &Route : Spec.m_Routes)
    Total += Route.m_Rate * PlannedLoad;
  for (double Share : Spec.m_Customers) {
    double Rate = Total * Share;
    double Burst = std::max(1.0, Rate * absl::ToDoubleSeconds(BurstLength));
    // The customers were there before the trial, their bursts unspent.
    m_Sends.emplace_back(policy::TokenBucket::Options{Rate, Burst},
                         Now - BurstLength);
    m_Firsts.emplace_back(policy::TokenBucket::Options{Rate, Burst},
                          Now - BurstLength);
  }
}

bool CustomerRates::admit(std::uint32_t Customer, absl::Time Now) {
  return m_Sends[Customer].tryTake(1, Now);
}

bool CustomerRates::isFirstInRate(std::uint32_t Customer, absl::Time Now) {
  return m_Firsts[Customer].tryTake(1, Now);
}

} // namespace knapweedloft::faults
