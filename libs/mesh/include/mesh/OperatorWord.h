#ifndef KNAPWEEDLOFT_MESH_OPERATORWORD_H
#define KNAPWEEDLOFT_MESH_OPERATORWORD_H

#include "mesh/Catalog.h"

#include <string>
#include <variant>

namespace knapweedloft::mesh {

/// A data centre is to get nothing, or takes part again.
struct DataCenterWord {
  std::string m_DataCenter;
  bool m_IsWithdrawn = false;
};

/// A record that cannot be read, with the reason.
struct UnreadableWord {
  std::string m_Why;
};

/// A record that is of no concern here.
struct OtherWord {};

/// What one record of the operator's topic says.
using OperatorWord =
    std::variant<OtherWord, UnreadableWord, Catalog, DataCenterWord>;

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_OPERATORWORD_H
