#ifndef KNAPWEEDLOFT_MESH_PEERTARGET_H
#define KNAPWEEDLOFT_MESH_PEERTARGET_H

#include "model/Member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// A target of the fleet as it is known here: its daemon and what that said.
struct PeerTarget {
  model::Member m_Member;
  std::string m_Instance;
  bool m_IsOpen = false; ///< Takes requests, and its daemon is linked.
  std::vector<std::string> m_Calls; ///< Services that the target calls.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_PEERTARGET_H
