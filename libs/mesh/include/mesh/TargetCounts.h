#ifndef KNAPWEEDLOFT_MESH_TARGETCOUNTS_H
#define KNAPWEEDLOFT_MESH_TARGETCOUNTS_H

#include "app/LatencyHistogram.h"

#include <cstdint>

namespace knapweedloft::mesh {

/// What the target side has done since its start.
struct TargetCounts {
  std::uint64_t m_Forwards = 0;
  std::uint64_t m_Started = 0;
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Refused = 0;    ///< Forwards that did not reach the target.
  std::uint64_t m_TargetShed = 0; ///< The target said that it did not run one.
  std::uint64_t m_Broken = 0;     ///< No whole answer came.
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_Checks = 0;
  app::LatencyHistogram m_Wait; ///< Between arrival and start.
  app::LatencyHistogram m_Run;  ///< Of the target alone.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETCOUNTS_H
