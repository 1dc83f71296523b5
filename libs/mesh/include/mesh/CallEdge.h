#ifndef KNAPWEEDLOFT_MESH_CALLEDGE_H
#define KNAPWEEDLOFT_MESH_CALLEDGE_H

#include <string>

namespace knapweedloft::mesh {

/// While a target runs requests of one route, it calls another.
struct CallEdge {
  std::string m_From; ///< Route of what runs.
  std::string m_To;   ///< Route of the call.

  friend auto operator<=>(const CallEdge &, const CallEdge &) = default;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CALLEDGE_H
