#ifndef KNAPWEEDLOFT_MESH_CALLOBSERVER_H
#define KNAPWEEDLOFT_MESH_CALLOBSERVER_H

#include "mesh/CallEdge.h"

#include "absl/container/btree_map.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// Infers the edges of the call graph from the calls that the local target
/// makes.
///
/// A call is attributed to a route only if every request that the target is
/// running and that could have made the call belongs to that route. Some
/// calls are still attributed wrongly, for example when the request that made
/// them has already ended. An edge therefore needs a minimum share of the calls
/// to its route in addition to a minimum count. Not thread-safe.
class CallObserver {
public:
  struct Options {
    std::uint64_t m_MinCalls = 3;
    double m_MinCallShare = 0.1; ///< Of all calls to the called route.
  };

  explicit CallObserver(const Options &Settings) : m_Settings(Settings) {}

  /// Counts a call to the route \p To made by a request of the route \p From.
  void onCall(const std::string &From, const std::string &To);

  /// Recomputes the edges from the counts. \returns whether they changed.
  bool update();
  [[nodiscard]] const std::vector<CallEdge> &edges() const { return m_Edges; }

private:
  Options m_Settings;
  absl::btree_map<CallEdge, std::uint64_t> m_Counts;
  /// All calls, by called route.
  absl::btree_map<std::string, std::uint64_t> m_CallsByRoute;
  std::vector<CallEdge> m_Edges;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CALLOBSERVER_H
