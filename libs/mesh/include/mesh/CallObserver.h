#ifndef KNAPWEEDLOFT_MESH_CALLOBSERVER_H
#define KNAPWEEDLOFT_MESH_CALLOBSERVER_H

#include "mesh/CallEdge.h"

#include "absl/container/btree_map.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// Learns which routes a target calls while it runs requests of which route.
///
/// A call is counted for a route if all that the target runs and that could
/// have made it is of that route. A few calls may still be counted wrongly, as
/// when what made them has ended; an edge therefore needs a part of the calls
/// to its route besides a least number. Not thread-safe.
class CallObserver {
public:
  struct Options {
    std::uint64_t m_LeastCalls = 3;
    double m_LeastPart = 0.1; ///< Of the calls to a route.
  };

  explicit CallObserver(const Options &Settings) : m_Settings(Settings) {}

  /// A call of the route \p To was made by a request of the route \p From.
  void onCall(const std::string &From, const std::string &To);

  /// Looks at what was counted. \returns whether the edges changed.
  bool update();
  [[nodiscard]] const std::vector<CallEdge> &edges() const { return m_Edges; }

private:
  Options m_Settings;
  absl::btree_map<CallEdge, std::uint64_t> m_Counts;
  absl::btree_map<std::string, std::uint64_t> m_Totals; ///< By called route.
  std::vector<CallEdge> m_Edges;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CALLOBSERVER_H
