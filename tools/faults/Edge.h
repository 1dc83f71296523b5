#ifndef KNAPWEEDLOFT_FAULTS_EDGE_H
#define KNAPWEEDLOFT_FAULTS_EDGE_H

#include "Mechanism.h"

#include "policy/EarlyRefusal.h"
#include "policy/RetryPolicy.h"
#include "policy/TargetChooser.h"

#include <cstddef>
#include <vector>

namespace knapweedloft::faults {

/// The decisions of one daemon about one service.
struct Edge {
  Edge(const Mechanisms &InUse, std::size_t DataCenter, std::uint64_t Seed);

  policy::TargetChooser m_Chooser;
  policy::EarlyRefusal m_Early;
  policy::RetryPolicy m_Retries;
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_EDGE_H
