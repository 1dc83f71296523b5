#ifndef KNAPWEEDLOFT_MESH_MEMBERRECORD_H
#define KNAPWEEDLOFT_MESH_MEMBERRECORD_H

#include "model/Member.h"

#include <optional>
#include <string>
#include <string_view>

namespace knapweedloft::mesh {

/// Serializes \p Member to the JSON value of its record in the store.
[[nodiscard]] std::string toRecordText(const model::Member &Member);

/// Parses what toRecordText() writes.
/// \returns nullopt if \p Text is not JSON, lacks a field, or has one that no
/// member can have.
[[nodiscard]] std::optional<model::Member>
memberFromRecord(std::string_view Text);

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_MEMBERRECORD_H
