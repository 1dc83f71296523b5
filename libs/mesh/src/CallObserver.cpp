#include "mesh/CallObserver.h"

#include <utility>

namespace knapweedloft::mesh {

void CallObserver::onCall(const std::string &From, const std::string &To) {
  ++m_Counts[{From, To}];
  ++m_CallsByRoute[To];
}

bool CallObserver::update() {
  std::vector<CallEdge> Edges;
  for (const auto &[Edge, Count] : m_Counts) {
    auto Total = static_cast<double>(m_CallsByRoute.at(Edge.m_To));
    if (Count >= m_Settings.m_MinCalls &&
        static_cast<double>(Count) >= m_Settings.m_MinCallShare * Total)
      Edges.push_back(Edge);
  }
  if (Edges == m_Edges)
    return false;
  m_Edges = std::move(Edges);
  return true;
}

} // namespace knapweedloft::mesh
