#include "Deployment.h"

namespace knapweedloft::faults {
namespace {

const std::vector<double> Customers = {0.3, 0.2,  0.15, 0.1,
                                       0.1, 0.05, 0.05, 0.05};

StepSpec step(std::size_t Service, int Milliseconds) {
  return {Service, absl::Milliseconds(Milliseconds)};
}

} // namespace

Deployment cooperative() {
  using model::Priority;
  enum Service : std::size_t { Archive, Orders, Proofs, Catalogue };
  Deployment Site;
  Site.m_Name = "cooperative";
  Site.m_Between = absl::Microseconds(500);
  Site.m_Services = {{"archive", 4, 230, 1500},
                     {"orders", 3, 300, 1900},
                     {"proofs", 3, 300, 1900},
                     {"catalogue", 3, 40, 300}};
  Site.m_Routes = {
      {"order",
       Priority::Critical,
       false,
       2160,
       {step(Orders, 150), step(Proofs, 100)}},
      {"proof",
       Priority::High,
       true,
       1080,
       {step(Proofs, 200), step(Archive, 100)}},
      {"browse",
       Priority::Normal,
       true,
       1400,
       {step(Archive, 200), step(Catalogue, 25)}},
      {"catalogue", Priority::Low, true, 740, {step(Catalogue, 50)}},
      {"export", Priority::Low, true, 430, {step(Archive, 300)}},
  };
  Site.m_Customers = Customers;
  Site.m_DeepService = Catalogue;
  return Site;
}

Deployment punteSicure() {
  using model::Priority;
  enum Service : std::size_t { Catalogue, Jobs, Manuals, Survey };
  Deployment Site;
  Site.m_Name = "punte-sicure";
  Site.m_Between = absl::Milliseconds(1);
  Site.m_Services = {{"catalogue", 3, 35, 300},
                     {"jobs", 3, 35, 300},
                     {"manuals", 3, 35, 300},
                     {"survey", 3, 15, 200}};
  Site.m_Routes = {
      {"booking",
       Priority::Critical,
       false,
       300,
       {step(Jobs, 100), step(Catalogue, 40)}},
      {"billing", Priority::High, false, 260, {step(Jobs, 80)}},
      {"survey",
       Priority::High,
       true,
       135,
       {step(Survey, 150), step(Manuals, 50)}},
      {"prices", Priority::Normal, true, 800, {step(Catalogue, 50)}},
      {"manual",
       Priority::Low,
       true,
       450,
       {step(Manuals, 100), step(Catalogue, 25)}},
  };
  Site.m_Customers = Customers;
  Site.m_DeepService = Catalogue;
  return Site;
}

} // namespace knapweedloft::faults
