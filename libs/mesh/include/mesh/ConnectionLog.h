#ifndef KNAPWEEDLOFT_MESH_CONNECTIONLOG_H
#define KNAPWEEDLOFT_MESH_CONNECTIONLOG_H

#include "http/ConnectionCounts.h"
#include "mesh/ComponentLog.h"

#include "absl/time/time.h"

namespace knapweedloft::mesh {

/// Logs the connections to the target, by cause, when many are opened.
///
/// A target spends time on each new connection. One line a second at most.
/// Not thread-safe.
class ConnectionLog {
public:
  explicit ConnectionLog(ComponentLog Log) : m_Log(Log) {}

  /// \p Counts are those since the start of the daemon.
  void tick(const http::ConnectionCounts &Counts, absl::Time Now);

private:
  ComponentLog m_Log;
  http::ConnectionCounts m_Logged;
  absl::Time m_Next = absl::InfinitePast();
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CONNECTIONLOG_H
