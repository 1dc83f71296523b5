#ifndef KNAPWEEDLOFT_APP_APPLIEDVIEW_H
#define KNAPWEEDLOFT_APP_APPLIEDVIEW_H

#include "model/LogOffset.h"

#include <string>
#include <vector>

namespace knapweedloft::app {

/// How far a member of the fleet is known to have applied the log.
struct AppliedOffset {
  std::string m_Name;
  model::LogOffset m_Offset = 0; ///< Every record before it is applied.
};

/// What is known of every member. A member that is missing counts as behind.
using AppliedView = std::vector<AppliedOffset>;

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APPLIEDVIEW_H
