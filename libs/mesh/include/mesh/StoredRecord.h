#ifndef KNAPWEEDLOFT_MESH_STOREDRECORD_H
#define KNAPWEEDLOFT_MESH_STOREDRECORD_H

#include <cstdint>
#include <string>

namespace knapweedloft::mesh {

/// The newest record of one key in one topic of the store.
struct StoredRecord {
  std::string m_Key;
  std::string m_Value;
  bool m_IsDeleted = false;
  std::uint64_t m_Era = 0; ///< Of the store that gave the offset.
  std::uint64_t m_Offset = 0;
  /// Surely written in that era, and not part of the copy that it began with.
  bool m_IsFresh = false;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_STOREDRECORD_H
