#ifndef KNAPWEEDLOFT_STATE_RESOURCECHANGE_H
#define KNAPWEEDLOFT_STATE_RESOURCECHANGE_H

#include "model/Resource.h"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedloft::state {

/// Creates, replaces or deletes one resource.
struct ResourceChange {
  std::string m_ChangeId; ///< Unique; 1 to 128 bytes. A second copy is ignored.
  model::ResourceKind m_Kind = model::ResourceKind::Customer;
  std::string m_Name;
  /// The revision that the resource must have; 0: it must not exist. Without
  /// it the last writer wins.
  std::optional<std::uint64_t> m_ExpectedRevision = std::nullopt;
  /// Without it: a deletion.
  std::optional<model::Resource> m_Resource = std::nullopt;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_RESOURCECHANGE_H
