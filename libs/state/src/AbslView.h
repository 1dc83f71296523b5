#ifndef KNAPWEEDLOFT_STATE_ABSLVIEW_H
#define KNAPWEEDLOFT_STATE_ABSLVIEW_H

#include "absl/strings/string_view.h"

#include <string_view>

namespace knapweedloft::state {

/// Debian builds Abseil with a string view of its own.
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_ABSLVIEW_H
