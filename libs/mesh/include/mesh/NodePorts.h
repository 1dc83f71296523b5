#ifndef KNAPWEEDLOFT_MESH_NODEPORTS_H
#define KNAPWEEDLOFT_MESH_NODEPORTS_H

#include "mesh/OperatorRecord.h"
#include "mesh/RolloutStatus.h"
#include "mesh/StorePort.h"

#include <functional>
#include <optional>
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
  std::string m_StatusTopic; ///< Written by the daemons, for the operator.
  std::function<StoredRecord(const RolloutStatus &)> m_EncodeRolloutStatus;
  /// \returns nothing if the record is no readable status of a roll-out.
  std::function<std::optional<RolloutStatus>(const StoredRecord &)>
      m_DecodeRolloutStatus;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_NODEPORTS_H
