#ifndef KNAPWEEDLOFT_MESH_LOGTEXT_H
#define KNAPWEEDLOFT_MESH_LOGTEXT_H

#include <cstddef>
#include <string>
#include <string_view>

namespace knapweedloft::mesh {

/// \returns the beginning of \p Reason: messages of a parser quote the text
/// that they could not read, which may be as long as a record.
[[nodiscard]] inline std::string shortReason(std::string_view Reason) {
  constexpr std::size_t MaxReasonBytes = 200;
  return std::string(Reason.substr(0, MaxReasonBytes));
}

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_LOGTEXT_H
