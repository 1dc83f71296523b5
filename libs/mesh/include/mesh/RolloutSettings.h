#ifndef KNAPWEEDLOFT_MESH_ROLLOUTSETTINGS_H
#define KNAPWEEDLOFT_MESH_ROLLOUTSETTINGS_H

#include "absl/time/time.h"

namespace knapweedloft::mesh {

/// What a bad version may get while it is rolled out.
struct RolloutSettings {
  /// Share of the requests that reach its service between the order and its
  /// deadline, and number of requests beyond it.
  double m_ExposureShare = 0.1;
  double m_ExposureSlack = 50;
  /// It gets no request later than this after its 50th bad answer.
  absl::Duration m_RollbackTime = absl::Seconds(5);

  friend bool operator==(const RolloutSettings &,
                         const RolloutSettings &) = default;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ROLLOUTSETTINGS_H
