#ifndef KNAPWEEDLOFT_MESH_OPERATORWORD_H
#define KNAPWEEDLOFT_MESH_OPERATORWORD_H

#include "mesh/Catalog.h"

#include <string>
#include <variant>

namespace knapweedloft::mesh {

/// A data center is withdrawn, so its targets get no requests, or restored.
struct DataCenterWord {
  std::string m_DataCenter;
  bool m_IsWithdrawn = false;
};

/// A record that cannot be parsed, and why.
struct UnreadableWord {
  std::string m_Why;
};

/// A record of a kind that daemons do not use.
struct OtherWord {};

/// One parsed record of the operator's topic.
using OperatorWord =
    std::variant<OtherWord, UnreadableWord, Catalog, DataCenterWord>;

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_OPERATORWORD_H
