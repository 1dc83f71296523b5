#ifndef KNAPWEEDLOFT_APP_REQUESTRECORD_H
#define KNAPWEEDLOFT_APP_REQUESTRECORD_H

#include "model/Ran.h"
#include "model/RefusalReason.h"

#include "absl/time/time.h"

#include <string>

namespace knapweedloft::app {

/// How one request ended, for metrics.
struct RequestRecord {
  std::string m_Route;
  std::string m_Customer; ///< Empty on an open route.
  model::RefusalReason m_Reason = model::RefusalReason::None;
  model::Ran m_Ran = model::Ran::No;
  int m_Status = 0;
  unsigned m_Attempts = 0;
  absl::Duration m_Latency;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_REQUESTRECORD_H
