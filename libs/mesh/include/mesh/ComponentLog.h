#ifndef KNAPWEEDLOFT_MESH_COMPONENTLOG_H
#define KNAPWEEDLOFT_MESH_COMPONENTLOG_H

#include "telemetry/EventLog.h"

#include "absl/time/clock.h"

#include <string_view>

namespace knapweedloft::mesh {

/// Writes the log lines of one component of a daemon to the log of the process.
/// Reads the wall clock itself, since that time only stamps lines and no
/// decision depends on it.
class ComponentLog {
public:
  using Fields = telemetry::EventLog::Fields;
  using Importance = telemetry::Importance;

  ComponentLog(telemetry::EventLog &Log, std::string_view Component)
      : m_Log(&Log), m_Component(Component) {}

  /// Logs a change of state, such as of the configuration, a link or the
  /// target.
  void state(std::string_view Sentence, Fields Values = {}) const {
    m_Log->write(Importance::State, m_Component, Sentence, absl::Now(), Values);
  }
  /// Logs a request that was refused, failed or was retried.
  void notable(std::string_view Sentence, Fields Values = {}) const {
    m_Log->write(Importance::Notable, m_Component, Sentence, absl::Now(),
                 Values);
  }
  /// Logs a request that succeeded or whose caller disconnected.
  void routine(std::string_view Sentence, Fields Values = {}) const {
    m_Log->write(Importance::Routine, m_Component, Sentence, absl::Now(),
                 Values);
  }

private:
  telemetry::EventLog *m_Log;
  std::string_view m_Component;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_COMPONENTLOG_H
