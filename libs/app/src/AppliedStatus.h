#ifndef KNAPWEEDLOFT_APP_APPLIEDSTATUS_H
#define KNAPWEEDLOFT_APP_APPLIEDSTATUS_H

#include "app/AppliedSummary.h"
#include "state/Snapshot.h"

#include <nlohmann/json.hpp>

namespace knapweedloft::app {

/// \returns how many members of \p State have applied what gave \p Revision,
/// and who is behind.
[[nodiscard]] nlohmann::json appliedStatus(std::uint64_t Revision,
                                           const state::Snapshot &State,
                                           const AppliedSummary &Applied);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APPLIEDSTATUS_H
