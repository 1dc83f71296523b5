#include "mesh/CatalogIndex.h"

#include "model/AbslView.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {
namespace {

template <typename TableT>
auto findIn(const TableT &Table, std::string_view Name) {
  auto Found = Table.find(model::toAbsl(Name));
  return Found == Table.end() ? nullptr : Found->second;
}

} // namespace

CatalogIndex::CatalogIndex(Catalog Source) : m_Catalog(std::move(Source)) {
  for (const CatalogRoute &Route : m_Catalog.m_Routes) {
    m_RoutesByHost[Route.m_Host].push_back(&Route);
    m_RoutesByName.emplace(Route.m_Name, &Route);
  }
  for (auto &[Host, Routes] : m_RoutesByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const CatalogRoute *Left, const CatalogRoute *Right) {
                       return Left->m_PathPrefix.size() >
                              Right->m_PathPrefix.size();
                     });
  for (const CatalogCustomer &Customer : m_Catalog.m_Customers)
    for (const std::string &Key : Customer.m_Keys)
      m_CustomersByKey.emplace(Key, &Customer);
  for (const CatalogService &Service : m_Catalog.m_Services)
    m_ServicesByName.emplace(Service.m_Name, &Service);
}

const CatalogRoute *CatalogIndex::findRoute(std::string_view Host,
                                            std::string_view Path) const {
  auto Found = m_RoutesByHost.find(model::toAbsl(Host));
  if (Found == m_RoutesByHost.end())
    return nullptr;
  std::string_view PathOnly = Path.substr(0, Path.find('?'));
  for (const CatalogRoute *Route : Found->second)
    if (PathOnly.starts_with(Route->m_PathPrefix))
      return Route;
  return nullptr;
}

const CatalogRoute *CatalogIndex::route(std::string_view Name) const {
  return findIn(m_RoutesByName, Name);
}

const CatalogCustomer *CatalogIndex::customerByKey(std::string_view Key) const {
  return findIn(m_CustomersByKey, Key);
}

const CatalogService *CatalogIndex::service(std::string_view Name) const {
  return findIn(m_ServicesByName, Name);
}

} // namespace knapweedloft::mesh
