#ifndef KNAPWEEDLOFT_POLICY_ADMISSIONOPTIONS_H
#define KNAPWEEDLOFT_POLICY_ADMISSIONOPTIONS_H

#include "absl/time/time.h"

#include <cstddef>

namespace knapweedloft::policy {

/// Settings of Admission. The switches allow each mechanism to be measured on
/// its own.
struct AdmissionOptions {
  bool m_UseAdaptiveLimit = true; ///< Else m_FixedLimit.
  bool m_UseFairQueue = true;     ///< Else FIFO over all customers.
  bool m_UsePriorities = true;    ///< Else all have one priority.
  bool m_UseShedding = true;      ///< Else the reported level is 0.
  bool m_UseRamp = true;          ///< Else a restart keeps the limit.
  bool m_UseDeadlines = true;     ///< Else requests run past them.
  double m_FixedLimit = 256;      ///< Used if not adaptive.
  double m_InitialLimit = 4;      ///< Of a new or restarted target.
  double m_MinLimit = 1;
  double m_MaxLimit = 4096;
  /// Maximum time that a ticket stays in the queue.
  absl::Duration m_MaxWait = absl::Milliseconds(200);
  std::size_t m_MaxQueued = 4096; ///< Capacity of the queue, in tickets.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMISSIONOPTIONS_H
