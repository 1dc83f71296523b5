#include "RouteTable.h"

#include "model/AbslView.h"

#include <algorithm>

namespace knapweedloft::state {
namespace {

std::string_view withoutQuery(std::string_view Path) {
  return Path.substr(0, Path.find_first_of("?#"));
}

std::string_view withoutTrailingSlash(std::string_view Path) {
  return Path.ends_with('/') ? Path.substr(0, Path.size() - 1) : Path;
}

} // namespace

RouteTable::RouteTable(const std::vector<const model::Route *> &Routes) {
  for (const model::Route *Each : Routes) {
    const std::string_view Prefix = withoutTrailingSlash(Each->m_PathPrefix);
    m_ByPrefix[model::toAbsl(Prefix)].push_back(Each);
    m_LongestPrefix = std::max(m_LongestPrefix, Prefix.size());
  }
}

const model::Route *RouteTable::find(std::string_view Method,
                                     std::string_view Path) const {
  std::string_view Rest = withoutTrailingSlash(withoutQuery(Path));
  while (true) {
    if (Rest.size() <= m_LongestPrefix)
      if (const model::Route *Found = findExact(Method, Rest))
        return Found;
    // Only the start of the path can match; a longer rest need not be cut
    // segment by segment.
    const std::size_t Limit = std::min(Rest.size(), m_LongestPrefix + 1);
    const std::size_t Cut = Rest.substr(0, Limit).rfind('/');
    if (Rest.empty() || Cut == std::string_view::npos)
      return nullptr;
    Rest = Rest.substr(0, Cut);
  }
}

const model::Route *RouteTable::findExact(std::string_view Method,
                                          std::string_view Prefix) const {
  auto Found = m_ByPrefix.find(model::toAbsl(Prefix));
  if (Found == m_ByPrefix.end())
    return nullptr;
  const model::Route *AnyMethod = nullptr;
  for (const model::Route *Each : Found->second) {
    if (Each->m_Method == Method)
      return Each;
    if (Each->m_Method.empty() && AnyMethod == nullptr)
      AnyMethod = Each;
  }
  return AnyMethod;
}

} // namespace knapweedloft::state
