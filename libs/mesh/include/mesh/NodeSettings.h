#ifndef KNAPWEEDLOFT_MESH_NODESETTINGS_H
#define KNAPWEEDLOFT_MESH_NODESETTINGS_H

#include "mesh/Dialect.h"
#include "model/Endpoint.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedloft::mesh {

/// Settings of a daemon on one thread.
struct NodeSettings {
  std::string m_Name;
  std::string m_Region;
  std::string m_DataCenter;
  std::string m_Service;     ///< Of the target beside the daemon.
  model::Endpoint m_Target;  ///< Where that target listens.
  model::Endpoint m_Callers; ///< Where callers' requests are accepted.
  model::Endpoint m_Link;    ///< Where links from peers are accepted.
  Dialect m_Dialect;
  /// The target has run before this process started: what a former process
  /// knew of it is lost, so it is asked how it is before it gets requests.
  bool m_IsRestart = false;
  std::size_t m_MemoryBytes = 256 << 20;
  std::size_t m_MaxDescriptors = 1024;
  absl::Duration m_StopWithin =
      absl::Seconds(5); ///< After a stop is asked for.
  /// Requests that reach a service beyond the first arrival of each, for each
  /// request for it, over the whole fleet.
  double m_RepeatRatio = 0.2;

  friend bool operator==(const NodeSettings &, const NodeSettings &) = default;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_NODESETTINGS_H
