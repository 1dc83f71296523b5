#ifndef KNAPWEEDLOFT_MESH_NODEPORTS_H
#define KNAPWEEDLOFT_MESH_NODEPORTS_H

#include "mesh/OperatorWord.h"
#include "mesh/StorePort.h"

#include <functional>
#include <string>

namespace knapweedloft::mesh {

/// What a platform lends to a daemon: its store, and the meaning of what its
/// operator writes there.
struct NodePorts {
  StorePort m_Store;
  std::string m_OperatorTopic; ///< Written by the operator.
  std::string m_MemberTopic;   ///< Written by the daemons.
  std::function<OperatorWord(const StoredRecord &)> m_Interpret;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_NODEPORTS_H
