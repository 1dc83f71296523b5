#ifndef KNAPWEEDLOFT_MESH_CATALOG_H
#define KNAPWEEDLOFT_MESH_CATALOG_H

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// A service that receives a weighted share of a route's requests.
struct WeightedService {
  std::string m_Service;
  double m_Weight = 1;
};

/// Maps a host and path prefix to services and defines how requests are
/// handled.
struct CatalogRoute {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix; ///< Begins and ends with '/'.
  std::vector<WeightedService> m_WeightedServices;
  bool m_IsIdempotent = false;    ///< Running it twice is safe.
  bool m_IsOpen = false;          ///< Requires no caller key.
  std::uint32_t m_Priority = 0;   ///< 0 is the highest.
  std::uint32_t m_MaxTargets = 1; ///< Targets that may receive one request.
  /// A request that is not answered within this time of its receipt is refused.
  absl::Duration m_Timeout = absl::Seconds(10);
  /// An answer that comes later has lost most of its value to the caller.
  absl::Duration m_LatencyObjective = absl::Seconds(1);
};

/// A service and the cold start of its targets.
struct CatalogService {
  std::string m_Name;
  std::string m_HealthPath;
  absl::Duration m_ColdStartDuration; ///< Length of the cold start of a target.
  /// Requests that a cold target can start per second.
  double m_ColdPerSecond = 0;
};

/// A customer with its keys, priority and rate limit.
struct CatalogCustomer {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  std::optional<std::uint32_t> m_Priority; ///< Overrides the route's.
  double m_PerSecond = 0;                  ///< Fleet-wide; 0 for no limit.
  double m_Burst = 0;
};

/// Limits for the connections and messages of callers.
struct CatalogLimits {
  std::size_t m_MaxHeaderBytes = 16 << 10;
  std::size_t m_MaxBodyBytes = 64 << 20;
  absl::Duration m_HeaderTimeout = absl::Seconds(10);
  absl::Duration m_IdleTimeout = absl::Seconds(60);
};

/// One version of the configuration of a site.
struct Catalog {
  std::uint64_t m_Version = 0;
  std::vector<CatalogRoute> m_Routes;
  std::vector<CatalogService> m_Services;
  std::vector<CatalogCustomer> m_Customers;
  CatalogLimits m_Limits;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CATALOG_H
