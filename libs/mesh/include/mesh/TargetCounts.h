#ifndef KNAPWEEDLOFT_MESH_TARGETCOUNTS_H
#define KNAPWEEDLOFT_MESH_TARGETCOUNTS_H

#include "app/LatencyHistogram.h"

#include <cstdint>

namespace knapweedloft::mesh {

/// Counters and latencies of the target side since its start.
struct TargetCounts {
  std::uint64_t m_Forwards = 0;
  std::uint64_t m_Started = 0;
  std::uint64_t m_PacedStarts = 0; ///< While the target named a rate limit.
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Refused = 0; ///< Forwards that did not reach the target.
  /// The target answered that it did not run the request.
  std::uint64_t m_TargetShed = 0;
  /// No complete answer arrived, or a success without proof.
  std::uint64_t m_Incomplete = 0;
  /// Of those, the ones with an http::AnswerFault.
  std::uint64_t m_Malformed = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_Crashes = 0; ///< Of the target.
  std::uint64_t m_Checks = 0;
  app::LatencyHistogram m_Wait; ///< Between arrival and start.
  app::LatencyHistogram m_Run;  ///< Between start and the target's answer.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETCOUNTS_H
