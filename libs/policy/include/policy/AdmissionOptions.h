#ifndef KNAPWEEDLOFT_POLICY_ADMISSIONOPTIONS_H
#define KNAPWEEDLOFT_POLICY_ADMISSIONOPTIONS_H

#include "absl/time/time.h"

#include <cstddef>

namespace knapweedloft::policy {

/// Settings of Admission; the switches show what each mechanism is worth.
struct AdmissionOptions {
  bool m_UseAdaptiveLimit = true; ///< Else m_FixedLimit.
  bool m_UseFairQueue = true;     ///< Else first come, first served.
  bool m_UsePriorities = true;    ///< Else one priority for all.
  bool m_UseShedding = true;      ///< Else the level fed back is 0.
  bool m_UseRamp = true;          ///< Else a cold target has its last limit.
  bool m_UseDeadlines = true;     ///< Else late work is run.
  double m_FixedLimit = 256;      ///< Without an adaptive limit.
  double m_InitialLimit = 4;      ///< Of a target never seen before.
  double m_MinLimit = 1;
  double m_MaxLimit = 4096;
  /// A ticket waits in the queue no longer than this.
  absl::Duration m_MaxWait = absl::Milliseconds(200);
  std::size_t m_MaxQueued = 4096; ///< Tickets in the queue.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMISSIONOPTIONS_H
