#ifndef KNAPWEEDLOFT_MESH_CATALOGINDEX_H
#define KNAPWEEDLOFT_MESH_CATALOGINDEX_H

#include "mesh/Catalog.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::mesh {

/// A catalog with its lookups. Immutable; pointers into it live as long.
class CatalogIndex {
public:
  explicit CatalogIndex(Catalog Source);

  /// \returns the route with the longest prefix of \p Path among those of the
  /// host, or null. \p Path may carry a query.
  [[nodiscard]] const CatalogRoute *findRoute(std::string_view Host,
                                              std::string_view Path) const;
  [[nodiscard]] const CatalogRoute *route(std::string_view Name) const;
  [[nodiscard]] const CatalogCustomer *customerOf(std::string_view Key) const;
  [[nodiscard]] const CatalogService *service(std::string_view Name) const;

  [[nodiscard]] const Catalog &catalog() const { return m_Catalog; }
  [[nodiscard]] std::uint64_t version() const { return m_Catalog.m_Version; }
  /// \returns whether requests carry keys at this site.
  [[nodiscard]] bool hasCustomers() const {
    return !m_Catalog.m_Customers.empty();
  }

private:
  Catalog m_Catalog;
  /// By host, the longest prefix first.
  absl::flat_hash_map<std::string, std::vector<const CatalogRoute *>> m_Hosts;
  absl::flat_hash_map<std::string, const CatalogRoute *> m_Routes;
  absl::flat_hash_map<std::string, const CatalogCustomer *> m_Keys;
  absl::flat_hash_map<std::string, const CatalogService *> m_Services;
};

using CatalogPtr = std::shared_ptr<const CatalogIndex>;

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CATALOGINDEX_H
