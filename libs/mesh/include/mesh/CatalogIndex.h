#ifndef KNAPWEEDLOFT_MESH_CATALOGINDEX_H
#define KNAPWEEDLOFT_MESH_CATALOGINDEX_H

#include "mesh/Catalog.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::mesh {

/// A catalog with lookup tables. Immutable; pointers that it returns are valid
/// for its lifetime.
class CatalogIndex {
public:
  explicit CatalogIndex(Catalog Source);

  /// \returns the route of \p Host with the longest prefix of \p Path, or null.
  /// \p Path may include a query.
  [[nodiscard]] const CatalogRoute *findRoute(std::string_view Host,
                                              std::string_view Path) const;
  [[nodiscard]] const CatalogRoute *route(std::string_view Name) const;
  [[nodiscard]] const CatalogCustomer *
  customerByKey(std::string_view Key) const;
  [[nodiscard]] const CatalogService *service(std::string_view Name) const;

  [[nodiscard]] const Catalog &catalog() const { return m_Catalog; }
  [[nodiscard]] std::uint64_t version() const { return m_Catalog.m_Version; }
  /// \returns whether requests need a caller key at this site.
  [[nodiscard]] bool hasCustomers() const {
    return !m_Catalog.m_Customers.empty();
  }

private:
  Catalog m_Catalog;
  /// Routes of each host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<const CatalogRoute *>>
      m_RoutesByHost;
  absl::flat_hash_map<std::string, const CatalogRoute *> m_RoutesByName;
  absl::flat_hash_map<std::string, const CatalogCustomer *> m_CustomersByKey;
  absl::flat_hash_map<std::string, const CatalogService *> m_ServicesByName;
};

using CatalogPtr = std::shared_ptr<const CatalogIndex>;

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CATALOGINDEX_H
