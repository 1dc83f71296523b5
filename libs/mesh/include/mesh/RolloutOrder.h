#ifndef KNAPWEEDLOFT_MESH_ROLLOUTORDER_H
#define KNAPWEEDLOFT_MESH_ROLLOUTORDER_H

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::mesh {

/// An operator's order to move the traffic of a service to the targets of a
/// version, or the removal of that order.
struct RolloutOrder {
  std::string m_Service;
  std::string m_TargetVersion;
  absl::Duration m_Duration; ///< From the order to its deadline.
  bool m_IsRemoved = false;
};

/// Names an order: the position of its record in the store, and the version.
struct RolloutOrderId {
  std::uint64_t m_Era = 0;
  std::uint64_t m_Offset = 0;
  std::string m_TargetVersion;

  /// \returns whether both name the same order. A store that comes back from an
  /// older copy gives out offsets again; an order for the same version that is
  /// found in another era is the former one, read or written again.
  [[nodiscard]] bool isSameAs(const RolloutOrderId &Other) const {
    return m_TargetVersion == Other.m_TargetVersion &&
           (m_Offset == Other.m_Offset || m_Era != Other.m_Era);
  }
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ROLLOUTORDER_H
