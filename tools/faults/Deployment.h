#ifndef KNAPWEEDLOFT_FAULTS_DEPLOYMENT_H
#define KNAPWEEDLOFT_FAULTS_DEPLOYMENT_H

#include "model/Priority.h"

#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::faults {

/// A service: targets of one size, spread over the data centers.
struct ServiceSpec {
  std::string m_Name;
  std::size_t m_Targets = 3;
  double m_Slots = 100; ///< Of each target.
  std::size_t m_Connections = 1000;
};

/// One step of a route: the work at a service, half before and half after the
/// step below it.
struct StepSpec {
  std::size_t m_Service = 0;
  absl::Duration m_Work;
};

/// A route and its chain of services, first to deepest.
struct RouteSpec {
  std::string m_Name;
  model::Priority m_Priority = model::Priority::Normal;
  bool m_IsIdempotent = true;
  double m_Rate = 100; ///< Requests a second of all customers, at load 1.
  std::vector<StepSpec> m_Steps;
};

/// One of the two deployments, at about 0.6 of its capacity at load 1.
struct Deployment {
  std::string m_Name;
  absl::Duration m_Between; ///< One way between data centers.
  std::vector<ServiceSpec> m_Services;
  std::vector<RouteSpec> m_Routes;
  std::vector<double> m_Customers; ///< Share of the requests of each.
  std::size_t m_DeepService = 0;   ///< The one that slows.
};

inline constexpr std::size_t DataCenters = 3;
inline constexpr double BaseUtilization = 0.6;

[[nodiscard]] Deployment cooperative();
[[nodiscard]] Deployment punteSicure();

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_DEPLOYMENT_H
