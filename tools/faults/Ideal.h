#ifndef KNAPWEEDLOFT_FAULTS_IDEAL_H
#define KNAPWEEDLOFT_FAULTS_IDEAL_H

#include "Deployment.h"

#include <vector>

namespace knapweedloft::faults {

/// What a service could run at one moment.
struct ServiceState {
  double m_Slots = 0; ///< Of all its targets.
  double m_Slowdown = 1;
};

/// \returns for each route the rate that an all-knowing controller would serve
/// of \p Demand: by priority, within a priority the same share of each route
/// as far as the slots of all services on its way go.
[[nodiscard]] std::vector<double>
idealRates(const Deployment &Site, const std::vector<ServiceState> &Services,
           const std::vector<double> &Demand);

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_IDEAL_H
