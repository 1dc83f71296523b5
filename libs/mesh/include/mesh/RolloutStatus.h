#ifndef KNAPWEEDLOFT_MESH_ROLLOUTSTATUS_H
#define KNAPWEEDLOFT_MESH_ROLLOUTSTATUS_H

#include "mesh/RolloutOrder.h"
#include "model/NameTable.h"

#include <cstdint>
#include <string>

namespace knapweedloft::mesh {

enum class RolloutOutcome : std::uint8_t { InProgress, Completed, RolledBack };

inline constexpr model::NameTable<RolloutOutcome, 3> RolloutOutcomeNames{
    {"in_progress", "completed", "rolled_back"}};

/// The record of a roll-out in the store: its state for the operator, and for
/// the daemons which of them decides it.
struct RolloutStatus {
  std::string m_Service;
  RolloutOutcome m_Outcome = RolloutOutcome::InProgress;
  RolloutOrderId m_Order;
  std::uint64_t m_Epoch = 0; ///< Rises with each daemon that takes over.
  std::string m_Decider;     ///< One life of one daemon.

  [[nodiscard]] bool isFinal() const {
    return m_Outcome != RolloutOutcome::InProgress;
  }
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ROLLOUTSTATUS_H
