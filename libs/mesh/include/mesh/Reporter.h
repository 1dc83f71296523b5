#ifndef KNAPWEEDLOFT_MESH_REPORTER_H
#define KNAPWEEDLOFT_MESH_REPORTER_H

#include "telemetry/EventLog.h"

#include "absl/time/clock.h"

#include <string_view>

namespace knapweedloft::mesh {

/// Writes the lines of one part of a daemon to the log of the process. Wall
/// time is read here, since it only stamps lines and decides nothing.
class Reporter {
public:
  using Fields = telemetry::EventLog::Fields;
  using Importance = telemetry::Importance;

  Reporter(telemetry::EventLog &Log, std::string_view Part)
      : m_Log(&Log), m_Part(Part) {}

  /// What the process believes has changed.
  void state(std::string_view Sentence, Fields Values = {}) const {
    m_Log->write(Importance::State, m_Part, Sentence, absl::Now(), Values);
  }
  /// A request was refused, failed or was repeated.
  void notable(std::string_view Sentence, Fields Values = {}) const {
    m_Log->write(Importance::Notable, m_Part, Sentence, absl::Now(), Values);
  }
  /// A request went well.
  void routine(std::string_view Sentence, Fields Values = {}) const {
    m_Log->write(Importance::Routine, m_Part, Sentence, absl::Now(), Values);
  }

private:
  telemetry::EventLog *m_Log;
  std::string_view m_Part;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_REPORTER_H
