#ifndef KNAPWEEDLOFT_POLICY_TARGETCRASH_H
#define KNAPWEEDLOFT_POLICY_TARGETCRASH_H

#include "model/Member.h"
#include "model/Quarantine.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// A crash of a target, reported by the daemon beside it.
struct TargetCrash {
  std::string m_Daemon;
  model::Incarnation m_Incarnation = 0; ///< Of the daemon.
  std::uint32_t m_Sequence = 0; ///< Counts the reports of the incarnation.
  std::string m_Instance;       ///< Of the target.
  absl::Time m_At;
  std::vector<model::Fingerprint> m_InFlight; ///< The latest started first.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETCRASH_H
