#ifndef KNAPWEEDLOFT_MESH_TARGETNOTICE_H
#define KNAPWEEDLOFT_MESH_TARGETNOTICE_H

#include "model/Member.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::mesh {

/// What a target said of itself in its answers. It holds for one start of the
/// target.
struct TargetNotice {
  model::Incarnation m_Daemon = 0; ///< Of the daemon that passed it on.
  std::string m_Instance;
  std::int64_t m_StartTimeMs = 0; ///< Of the instance; 0: unknown.
  double m_RateLimit = 0; ///< Requests a second that it takes; 0: named none.
  bool m_IsLeaving = false;
  absl::Time m_At; ///< When it was last heard.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETNOTICE_H
