#ifndef KNAPWEEDLOFT_MESH_NODEPORTS_H
#define KNAPWEEDLOFT_MESH_NODEPORTS_H

#include "mesh/OperatorRecord.h"
#include "mesh/StorePort.h"

#include <functional>
#include <string>

namespace knapweedloft::mesh {

/// The interfaces that a platform adapter provides to a daemon: the store, and
/// the decoder of the records that the platform's operator writes there.
struct NodePorts {
  StorePort m_Store;
  std::string m_OperatorTopic; ///< Written by the operator.
  std::string m_MemberTopic;   ///< Written by the daemons.
  std::string m_CrashTopic;    ///< Written by the daemons.
  std::function<OperatorRecord(const StoredRecord &)> m_DecodeOperatorRecord;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_NODEPORTS_H
