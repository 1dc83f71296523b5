#ifndef KNAPWEEDLOFT_MESH_CALLERCONNECTIONLOG_H
#define KNAPWEEDLOFT_MESH_CALLERCONNECTIONLOG_H

#include "http/CallerConnectionCounts.h"
#include "mesh/ComponentLog.h"

#include "absl/time/time.h"

namespace knapweedloft::mesh {

/// Logs that connections of callers were closed with requests under way, by
/// cause.
///
/// Their callers get no answer. One line a second at most, and none if the
/// callers left by themselves. Not thread-safe.
class CallerConnectionLog {
public:
  explicit CallerConnectionLog(ComponentLog Log) : m_Log(Log) {}

  /// \p Counts are those since the start of the daemon.
  void tick(const http::CallerConnectionCounts &Counts, absl::Time Now);

private:
  ComponentLog m_Log;
  http::CallerConnectionCounts m_Logged;
  absl::Time m_Next = absl::InfinitePast();
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_CALLERCONNECTIONLOG_H
