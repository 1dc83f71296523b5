#ifndef KNAPWEEDLOFT_MESH_PEERTARGET_H
#define KNAPWEEDLOFT_MESH_PEERTARGET_H

#include "mesh/CallEdge.h"
#include "model/Member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// A target of the fleet as it is known here: its daemon and what that said.
struct PeerTarget {
  model::Member m_Member;
  std::string m_Instance;
  bool m_IsOpen = false;         ///< Takes requests, and its daemon is linked.
  std::vector<CallEdge> m_Calls; ///< That the target makes.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_PEERTARGET_H
