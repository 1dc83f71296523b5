#ifndef KNAPWEEDLOFT_POLICY_ADMISSIONLOAD_H
#define KNAPWEEDLOFT_POLICY_ADMISSIONLOAD_H

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// The load of a target as measured by its target side, which reports it to the
/// entry sides with each answer.
struct AdmissionLoad {
  float m_Limit = 0;            ///< Concurrency limit, in requests.
  std::uint32_t m_InFlight = 0; ///< Running requests.
  std::uint32_t m_Queued = 0;
  /// 0: nothing is shed; 1: all of Low; up to 4: every priority. The
  /// fractional part is the share shed of the next priority.
  float m_ShedLevel = 0;
  /// Recent mean latency of the target itself; at its usual pace, if it names
  /// one.
  absl::Duration m_Latency = absl::ZeroDuration();
  bool m_IsRamping = false; ///< The target is in its cold start.
  /// How long work takes at this moment, as a factor of the usual; 0: the
  /// target names no pace.
  double m_Pace = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMISSIONLOAD_H
