#ifndef KNAPWEEDLOFT_MESH_PEERTARGET_H
#define KNAPWEEDLOFT_MESH_PEERTARGET_H

#include "mesh/CallEdge.h"
#include "model/Member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// What is known locally of a target of the fleet: its daemon and the state
/// that the daemon last reported.
struct PeerTarget {
  model::Member m_Member;
  std::string m_Instance;
  std::int64_t m_StartTimeMs = 0; ///< Of the instance; 0: unknown.
  bool m_IsOpen = false; ///< Accepts requests, and its daemon is linked.
  std::string m_Version; ///< Of the target's software; empty: unknown.
  /// Share of the service's requests for all targets of this version, while a
  /// roll-out tries it; 1: no limit.
  double m_Exposure = 1;
  std::vector<CallEdge> m_Calls; ///< Calls that the target makes.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_PEERTARGET_H
