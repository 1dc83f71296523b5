#ifndef KNAPWEEDLOFT_MODEL_ROUTE_H
#define KNAPWEEDLOFT_MODEL_ROUTE_H

#include "model/Priority.h"

#include "absl/time/time.h"

#include <string>

namespace knapweedloft::model {

/// Maps a path prefix to a service and says how its requests are treated. The
/// longest matching prefix wins.
struct Route {
  std::string m_Name;       ///< 1 to 64 of [a-z0-9-].
  std::string m_PathPrefix; ///< Starts with '/'.
  std::string m_Method;     ///< An HTTP method, or empty for every method.
  std::string m_Service;    ///< Service whose targets run it.
  Priority m_Priority = Priority::Normal;
  bool m_IsOpen = false;       ///< Open to all: no key is needed.
  bool m_IsIdempotent = false; ///< A second run does no harm.
  absl::Duration m_Timeout = absl::Seconds(10); ///< Deadline without a header.

  friend bool operator==(const Route &, const Route &) = default;
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_ROUTE_H
