#ifndef KNAPWEEDLOFT_POLICY_DATACENTERROOM_H
#define KNAPWEEDLOFT_POLICY_DATACENTERROOM_H

#include "absl/time/time.h"

#include <string>

namespace knapweedloft::policy {

/// What an entry side knows of the targets of one service in one data center,
/// summed over those that take requests and have reported lately.
struct DataCenterRoom {
  std::string m_Name;
  double m_Slots = 0; ///< Requests that run at once.
  /// Running and queued, with those sent since the reports.
  double m_Requests = 0;
  /// Mean time that a request runs, weighted by slots.
  absl::Duration m_RunTime;
  /// Time that the way there and back takes beyond that to an own target.
  absl::Duration m_AddedTime;
  absl::Duration m_NewsAge; ///< Mean age of the reports.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DATACENTERROOM_H
