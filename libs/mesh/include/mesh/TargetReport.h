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

/// What a target says of itself now and then.
struct TargetReport {
  std::string m_Instance; ///< One start of one target.
  std::string m_Service;
  model::Endpoint m_At;
  TargetCondition m_Condition = TargetCondition::Ready;
  std::uint32_t m_Slots = 0;
  std::uint64_t m_Sequence = 0; ///< Grows with each report of one life.
  std::int64_t m_BornMs = 0;    ///< Unix time of its start; 0: not told.
  absl::Duration m_ColdLeft;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_TARGETREPORT_H
