#include "Ideal.h"

#include <algorithm>

namespace knapweedloft::faults {
namespace {

/// Passes over the routes of one priority; each gives what it left to others.
constexpr int Passes = 4;

/// \returns the slot time of one request at each service; a slot is held while
/// the steps below run.
std::vector<double> holdTimes(const Deployment &Site, const RouteSpec &Route,
                              const std::vector<ServiceState> &Services) {
  std::vector<double> Hold(Site.m_Services.size());
  double Below = 0;
  for (std::size_t Index = Route.m_Steps.size(); Index-- > 0;) {
    const StepSpec &Step = Route.m_Steps[Index];
    Below += absl::ToDoubleSeconds(Step.m_Work) *
             Services[Step.m_Service].m_Slowdown;
    Hold[Step.m_Service] += Below;
  }
  return Hold;
}

} // namespace

std::vector<double> idealRates(const Deployment &Site,
                               const std::vector<ServiceState> &Services,
                               const std::vector<double> &Demand) {
  std::vector<double> Left;
  Left.reserve(Services.size());
  for (const ServiceState &One : Services)
    Left.push_back(One.m_Slots);
  std::vector<std::vector<double>> Holds;
  Holds.reserve(Site.m_Routes.size());
  for (const RouteSpec &Route : Site.m_Routes)
    Holds.push_back(holdTimes(Site, Route, Services));

  std::vector<double> Rates(Site.m_Routes.size());
  for (std::size_t Band = 0; Band < model::PriorityCount; ++Band)
    for (int Pass = 0; Pass < Passes; ++Pass) {
      std::vector<double> Need(Left.size());
      auto IsOfBand = [&](std::size_t Route) {
        return static_cast<std::size_t>(Site.m_Routes[Route].m_Priority) ==
               Band;
      };
      for (std::size_t Route = 0; Route < Rates.size(); ++Route)
        for (std::size_t Service = 0; Service < Left.size(); ++Service)
          if (IsOfBand(Route))
            Need[Service] +=
                (Demand[Route] - Rates[Route]) * Holds[Route][Service];
      const std::vector<double> Before = Left;
      for (std::size_t Route = 0; Route < Rates.size(); ++Route) {
        if (!IsOfBand(Route))
          continue;
        double Share = 1;
        for (std::size_t Service = 0; Service < Left.size(); ++Service)
          if (Holds[Route][Service] > 0 && Need[Service] > 0)
            Share = std::min(Share, Before[Service] / Need[Service]);
        double Added = (Demand[Route] - Rates[Route]) * std::max(0.0, Share);
        Rates[Route] += Added;
        for (std::size_t Service = 0; Service < Left.size(); ++Service)
          Left[Service] =
              std::max(0.0, Left[Service] - Added * Holds[Route][Service]);
      }
    }
  return Rates;
}

} // namespace knapweedloft::faults
