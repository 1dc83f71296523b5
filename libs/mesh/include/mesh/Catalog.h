#ifndef KNAPWEEDLOFT_MESH_CATALOG_H
#define KNAPWEEDLOFT_MESH_CATALOG_H

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// A part of a route's requests that goes to one service.
struct RoutePart {
  std::string m_Service;
  double m_Weight = 1;
};

/// Maps a host and path prefix to services and says how requests are treated.
struct CatalogRoute {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix; ///< Begins and ends with '/'.
  std::vector<RoutePart> m_Parts;
  bool m_IsIdempotent = false;    ///< A second run does no harm.
  bool m_IsOpen = false;          ///< No key is needed.
  std::uint32_t m_Priority = 0;   ///< 0 is the most urgent.
  std::uint32_t m_MaxTargets = 1; ///< That one request may be sent to.
  absl::Duration m_Timeout = absl::Seconds(10); ///< A caller waits no longer.
  absl::Duration m_Aim = absl::Seconds(1); ///< An answer is worth most by then.
};

struct CatalogService {
  std::string m_Name;
  std::string m_HealthPath;
  absl::Duration m_ColdFor;   ///< After a start.
  double m_ColdPerSecond = 0; ///< Requests that a cold target bears.
};

struct CatalogCustomer {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  std::optional<std::uint32_t> m_Priority; ///< Goes before the route's.
  double m_PerSecond = 0;                  ///< Over the fleet; 0: no limit.
  double m_Burst = 0;
};

struct CatalogLimits {
  std::size_t m_MaxHeaderBytes = 16 << 10;
  std::size_t m_MaxBodyBytes = 64 << 20;
  absl::Duration m_HeaderTimeout = absl::Seconds(10);
  absl::Duration m_IdleTimeout = absl::Seconds(60);
};

/// The configuration of a site in one version.
struct Catalog {
  std::uint64_t m_Version = 0;
  std::vector<CatalogRoute> m_Routes;
  std::vector<CatalogService> m_Services;
  std::vector<CatalogCustomer> m_Customers;
  CatalogLimits m_Limits;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CATALOG_H
