#ifndef KNAPWEEDLOFT_MESH_TARGETREPORT_H
#define KNAPWEEDLOFT_MESH_TARGETREPORT_H

#include "model/Endpoint.h"
#include "model/NameTable.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::mesh {

enum class TargetCondition : std::uint8_t { Ready, Draining, Gone };

inline constexpr model::NameTable<TargetCondition, 3> TargetConditionNames{
    {"ready", "draining", "gone"}};

/// The state that a target reports about itself from time to time.
struct TargetReport {
  std::string m_Instance; ///< Identifies one start of one target.
  std::string m_Service;
  std::string m_Version; ///< Of the target's software; empty: not reported.
  model::Endpoint m_At;
  TargetCondition m_Condition = TargetCondition::Ready;
  std::uint32_t m_Slots = 0;
  std::uint64_t m_Sequence = 0; ///< Increases with each report of an instance.
  std::int64_t m_StartTimeMs = 0; ///< Unix time of the start; 0: not reported.
  absl::Duration m_ColdRemaining; ///< Time for which the target stays cold.
  /// Unix time of its arrival; infinitely late: unknown.
  absl::Time m_ReceivedAt = absl::InfiniteFuture();
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETREPORT_H
