#ifndef KNAPWEEDLOFT_MODEL_ABSLVIEW_H
#define KNAPWEEDLOFT_MODEL_ABSLVIEW_H

#include "absl/strings/string_view.h"

#include <string_view>

namespace knapweedloft::model {

/// Debian builds Abseil with a string view of its own.
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_ABSLVIEW_H
