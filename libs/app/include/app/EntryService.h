#ifndef KNAPWEEDLOFT_APP_ENTRYSERVICE_H
#define KNAPWEEDLOFT_APP_ENTRYSERVICE_H

#include "model/LogOffset.h"
#include "policy/EarlyRefusal.h"
#include "policy/RetryPolicy.h"
#include "policy/TargetChooser.h"

#include <cstdint>
#include <vector>

namespace knapweedloft::app {

/// What an entry side knows of one service that it calls.
struct EntryService {
  policy::TargetChooser m_Chooser;
  policy::EarlyRefusal m_EarlyRefusal;
  policy::RetryPolicy m_Retries;
  model::LogOffset m_StateOffset = UINT64_MAX; ///< Targets are as of this.
  std::uint64_t m_LivenessVersion = 0;
  std::vector<std::uint64_t> m_Parked; ///< Requests that wait for a link.
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_ENTRYSERVICE_H
