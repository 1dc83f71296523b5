#ifndef KNAPWEEDLOFT_STATE_RESOURCERULES_H
#define KNAPWEEDLOFT_STATE_RESOURCERULES_H

#include "model/Member.h"
#include "model/Resource.h"

#include <optional>
#include <string>
#include <string_view>

namespace knapweedloft::state {

/// Which field of a resource is wrong and what is allowed there.
struct FieldFault {
  std::string m_Field; ///< As in the resource API, "per_second".
  std::string m_Allowed;
};

/// Checks one resource by itself, without its references to others.
/// \returns the first fault, or nothing.
[[nodiscard]] std::optional<FieldFault> findFault(const model::Resource &What);

/// \returns whether \p Name is 1 to 64 of [a-z0-9-].
[[nodiscard]] bool isName(std::string_view Name);

/// \returns whether the names and the address of \p Who are well formed.
[[nodiscard]] bool isWellFormed(const model::Member &Who);

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_RESOURCERULES_H
