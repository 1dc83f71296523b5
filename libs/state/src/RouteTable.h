#ifndef KNAPWEEDLOFT_STATE_ROUTETABLE_H
#define KNAPWEEDLOFT_STATE_ROUTETABLE_H

#include "model/Route.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::state {

/// Finds the route of a request by its longest matching path prefix.
///
/// A prefix matches whole path segments: "/orders" matches "/orders" and
/// "/orders/7" but not "/orders-old". Of two routes with the same prefix the
/// one that names the method goes first.
class RouteTable {
public:
  /// \p Routes must outlive the table and be ordered by name; of two routes
  /// with the same prefix and method the first counts.
  explicit RouteTable(const std::vector<const model::Route *> &Routes);

  [[nodiscard]] const model::Route *find(std::string_view Method,
                                         std::string_view Path) const;

private:
  using Alternatives = std::vector<const model::Route *>;

  [[nodiscard]] const model::Route *findExact(std::string_view Method,
                                              std::string_view Prefix) const;

  /// Keys have no trailing '/'.
  absl::flat_hash_map<std::string, Alternatives> m_ByPrefix;
  std::size_t m_LongestPrefix = 0;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_ROUTETABLE_H
