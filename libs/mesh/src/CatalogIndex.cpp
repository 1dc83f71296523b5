#include "mesh/CatalogIndex.h"

#include "model/AbslView.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {
namespace {

template <typename TableT>
auto lookUp(const TableT &In, std::string_view Name) {
  auto Found = In.find(model::toAbsl(Name));
  return Found == In.end() ? nullptr : Found->second;
}

} // namespace

CatalogIndex::CatalogIndex(Catalog Source) : m_Catalog(std::move(Source)) {
  for (const CatalogRoute &Route : m_Catalog.m_Routes) {
    m_Hosts[Route.m_Host].push_back(&Route);
    m_Routes.emplace(Route.m_Name, &Route);
  }
  for (auto &[Host, Routes] : m_Hosts)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const CatalogRoute *Left, const CatalogRoute *Right) {
                       return Left->m_PathPrefix.size() >
                              Right->m_PathPrefix.size();
                     });
  for (const CatalogCustomer &Customer : m_Catalog.m_Customers)
    for (const std::string &Key : Customer.m_Keys)
      m_Keys.emplace(Key, &Customer);
  for (const CatalogService &Service : m_Catalog.m_Services)
    m_Services.emplace(Service.m_Name, &Service);
}

const CatalogRoute *CatalogIndex::findRoute(std::string_view Host,
                                            std::string_view Path) const {
  auto Found = m_Hosts.find(model::toAbsl(Host));
  if (Found == m_Hosts.end())
    return nullptr;
  std::string_view Plain = Path.substr(0, Path.find('?'));
  for (const CatalogRoute *Route : Found->second)
    if (Plain.starts_with(Route->m_PathPrefix))
      return Route;
  return nullptr;
}

const CatalogRoute *CatalogIndex::route(std::string_view Name) const {
  return lookUp(m_Routes, Name);
}

const CatalogCustomer *CatalogIndex::customerOf(std::string_view Key) const {
  return lookUp(m_Keys, Key);
}

const CatalogService *CatalogIndex::service(std::string_view Name) const {
  return lookUp(m_Services, Name);
}

} // namespace knapweedloft::mesh
