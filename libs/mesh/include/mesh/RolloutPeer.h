#ifndef KNAPWEEDLOFT_MESH_ROLLOUTPEER_H
#define KNAPWEEDLOFT_MESH_ROLLOUTPEER_H

#include "link/LinkNode.h"
#include "model/Member.h"

namespace knapweedloft::mesh {

/// Another daemon, as a roll-out sees it.
struct RolloutPeer {
  model::Member m_Member;
  link::PeerHandle m_Link; ///< Invalid: no link.
  bool m_IsCounted = true; ///< Has, or had until lately, a link.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ROLLOUTPEER_H
