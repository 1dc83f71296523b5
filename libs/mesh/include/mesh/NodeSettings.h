#ifndef KNAPWEEDLOFT_MESH_NODESETTINGS_H
#define KNAPWEEDLOFT_MESH_NODESETTINGS_H

#include "mesh/HeaderNames.h"
#include "mesh/RolloutSettings.h"
#include "model/Endpoint.h"
#include "policy/DataCenterSpill.h"
#include "policy/LeaveRule.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace knapweedloft::mesh {

/// Settings of a Node.
struct NodeSettings {
  std::string m_Name;
  std::string m_Region;
  std::string m_DataCenter;
  std::string m_Service;     ///< Service of the local target.
  model::Endpoint m_Target;  ///< Address of the local target.
  model::Endpoint m_Callers; ///< Listening address for callers.
  model::Endpoint m_Link;    ///< Listening address for links.
  HeaderNames m_HeaderNames;
  /// The target ran before this process started. The state that the previous
  /// process held of it is lost, so the target gets no requests until it has
  /// passed a health check.
  bool m_IsRestart = false;
  std::size_t m_MemoryBytes = 256 << 20;
  std::size_t m_MaxDescriptors = 1024;
  /// Longest time that requests have after a request to stop; the daemon ends
  /// within PlannedStop::CloseTimeout after it.
  absl::Duration m_StopTimeout = absl::Seconds(5);
  /// Retry budget over the whole fleet: arrivals at a service beyond the first
  /// one of each request, per request for that service.
  double m_RetryRatio = 0.2;
  /// Absent: operators do not order roll-outs.
  std::optional<RolloutSettings> m_Rollouts;
  policy::LeaveRule m_Leave = policy::LeaveRule::Fixed;
  policy::DataCenterSpill::Options m_Spill; ///< With LeaveRule::Auto.

  friend bool operator==(const NodeSettings &, const NodeSettings &) = default;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_NODESETTINGS_H
