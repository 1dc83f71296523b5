#ifndef KNAPWEEDLOFT_MESH_MEMBERRECORD_H
#define KNAPWEEDLOFT_MESH_MEMBERRECORD_H

#include "model/Member.h"

#include <optional>
#include <string>
#include <string_view>

namespace knapweedloft::mesh {

/// \returns a member as the text under which it stands in the store.
[[nodiscard]] std::string toRecordText(const model::Member &Member);

/// \returns nothing if the text is none of these.
[[nodiscard]] std::optional<model::Member>
memberFromRecord(std::string_view Text);

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_MEMBERRECORD_H
