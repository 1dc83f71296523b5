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
  std::uint64_t m_Offset = 0;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_STOREDRECORD_H
