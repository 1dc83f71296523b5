#ifndef KNAPWEEDLOFT_MESH_ENTRYCOUNTS_H
#define KNAPWEEDLOFT_MESH_ENTRYCOUNTS_H

#include "app/LatencyHistogram.h"
#include "model/RefusalReason.h"
#include "telemetry/OutcomeTable.h"

#include <array>
#include <cstdint>

namespace knapweedloft::mesh {

/// What the entry side has done since its start.
struct EntryCounts {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Calls = 0;        ///< Of them by the own target.
  std::uint64_t m_Answered = 0;     ///< With a target's answer.
  std::uint64_t m_TargetErrors = 0; ///< Of them with a status from 500 up.
  std::uint64_t m_Repeats = 0;
  std::uint64_t m_Reroutes = 0; ///< After a target side had refused it unrun.
  std::uint64_t m_Gone = 0;     ///< The caller left first.
  std::array<std::uint64_t, model::RefusalReasonCount> m_Ended{};
  app::LatencyHistogram m_Latency; ///< Of what was answered.
  telemetry::OutcomeTable m_ByRoute{{}};
  telemetry::OutcomeTable m_ByCustomer{{}};
  telemetry::OutcomeTable m_ByService{{}};
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ENTRYCOUNTS_H
