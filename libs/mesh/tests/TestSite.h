#ifndef KNAPWEEDLOFT_MESH_TESTS_TESTSITE_H
#define KNAPWEEDLOFT_MESH_TESTS_TESTSITE_H

#include "mesh/CatalogIndex.h"
#include "mesh/HeaderNames.h"

#include <memory>
#include <utility>

namespace knapweedloft::mesh::testing {

inline const HeaderNames Names{.m_CallId = "Call-Id",
                               .m_RemainingTime = "Time-Left",
                               .m_Key = "Authorization",
                               .m_KeyScheme = "Key ",
                               .m_Customer = "Customer",
                               .m_CallerService = "From-Service",
                               .m_Instance = "Meant-For",
                               .m_ReportedInstance = "I-Am",
                               .m_NotRun = "Not-Run",
                               .m_OriginProof = "Proof",
                               .m_TargetLoad = "Load",
                               .m_ColdRemaining = "Cold-Left",
                               .m_RateLimit = "Takes",
                               .m_Leaving = "Leaves"};

inline CatalogPtr makeCatalog() {
  Catalog Made;
  Made.m_Version = 1;
  Made.m_Routes = {{.m_Name = "reads",
                    .m_Host = "site",
                    .m_PathPrefix = "/reads/",
                    .m_WeightedServices = {{"archive", 1}},
                    .m_IsIdempotent = true,
                    .m_MaxTargets = 2,
                    .m_Timeout = absl::Seconds(5),
                    .m_LatencyObjective = absl::Seconds(1)},
                   {.m_Name = "orders",
                    .m_Host = "site",
                    .m_PathPrefix = "/orders/",
                    .m_WeightedServices = {{"archive", 1}},
                    .m_MaxTargets = 2,
                    .m_Timeout = absl::Seconds(5),
                    .m_LatencyObjective = absl::Seconds(1)},
                   {.m_Name = "calls",
                    .m_Host = "site",
                    .m_PathPrefix = "/calls/",
                    .m_WeightedServices = {{"archive", 1}},
                    .m_IsIdempotent = true,
                    .m_IsOpen = true,
                    .m_MaxTargets = 2,
                    .m_Timeout = absl::Seconds(2),
                    .m_LatencyObjective = absl::Seconds(1)}};
  Made.m_Services = {{.m_Name = "archive",
                      .m_HealthPath = "/health",
                      .m_ColdStartDuration = absl::Seconds(3),
                      .m_ColdPerSecond = 50}};
  Made.m_Customers = {
      {.m_Name = "acme", .m_Keys = {"secret"}},
      {.m_Name = "small", .m_Keys = {"other"}, .m_PerSecond = 1, .m_Burst = 4}};
  return std::make_shared<const CatalogIndex>(std::move(Made));
}

} // namespace knapweedloft::mesh::testing

#endif // KNAPWEEDLOFT_MESH_TESTS_TESTSITE_H
