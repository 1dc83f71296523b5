#ifndef KNAPWEEDLOFT_MESH_ENTRYCOUNTS_H
#define KNAPWEEDLOFT_MESH_ENTRYCOUNTS_H

#include "app/LatencyHistogram.h"
#include "model/RefusalReason.h"
#include "telemetry/OutcomeTable.h"

#include <array>
#include <cstdint>

namespace knapweedloft::mesh {

/// Counters and latencies of the entry side since its start.
struct EntryCounts {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Calls = 0;        ///< Requests made by the local target.
  std::uint64_t m_Answered = 0;     ///< With an answer from a target.
  std::uint64_t m_TargetErrors = 0; ///< Answers with status 500 or above.
  std::uint64_t m_Retries = 0;  ///< Retries after a request reached a target.
  std::uint64_t m_Reroutes = 0; ///< Sent on after a target side refused.
  std::uint64_t m_CallerDisconnects = 0; ///< The caller disconnected first.
  std::array<std::uint64_t, model::RefusalReasonCount>
      m_RefusedByReason{};         ///< Indexed by RefusalReason.
  app::LatencyHistogram m_Latency; ///< Of answered requests.
  telemetry::OutcomeTable m_ByRoute{{}};
  telemetry::OutcomeTable m_ByCustomer{{}};
  telemetry::OutcomeTable m_ByService{{}};
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ENTRYCOUNTS_H
