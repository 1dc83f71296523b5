#ifndef KNAPWEEDLOFT_MESH_OPERATORRECORD_H
#define KNAPWEEDLOFT_MESH_OPERATORRECORD_H

#include "mesh/Catalog.h"
#include "mesh/RolloutOrder.h"

#include <string>
#include <variant>

namespace knapweedloft::mesh {

/// A data center is withdrawn, so its targets get no requests, or restored.
struct DataCenterWithdrawal {
  std::string m_DataCenter;
  bool m_IsWithdrawn = false;
};

/// A record that cannot be parsed, and why.
struct UnreadableRecord {
  std::string m_Reason;
  bool m_IsRolloutOrder = false;
};

/// A record of a kind that daemons do not use.
struct IgnoredRecord {};

/// One parsed record of the operator's topic.
using OperatorRecord = std::variant<IgnoredRecord, UnreadableRecord, Catalog,
                                    DataCenterWithdrawal, RolloutOrder>;

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_OPERATORRECORD_H
