#ifndef KNAPWEEDLOFT_MESH_CALLEDGE_H
#define KNAPWEEDLOFT_MESH_CALLEDGE_H

#include <string>
#include <tuple>

namespace knapweedloft::mesh {

/// An edge of the call graph: while a target runs requests of one route, it
/// sends requests to another.
struct CallEdge {
  std::string m_From; ///< Route of the running request.
  std::string m_To;   ///< Route of the request that the target sends.

  friend bool operator==(const CallEdge &, const CallEdge &) = default;
  friend bool operator<(const CallEdge &Left, const CallEdge &Right) {
    return std::tie(Left.m_From, Left.m_To) <
           std::tie(Right.m_From, Right.m_To);
  }
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CALLEDGE_H
