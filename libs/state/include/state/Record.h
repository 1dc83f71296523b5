#ifndef KNAPWEEDLOFT_STATE_RECORD_H
#define KNAPWEEDLOFT_STATE_RECORD_H

#include "state/ImagePart.h"
#include "state/KeeperClaim.h"
#include "state/MemberRecords.h"
#include "state/ResourceChange.h"

#include "absl/time/time.h"

#include <variant>

namespace knapweedloft::state {

using Entry = std::variant<ResourceChange, Join, Leave, KeeperClaim, ImagePart>;

/// One record of the configuration stream.
struct Record {
  absl::Time m_Written = absl::UnixEpoch(); ///< Writer's wall clock; for logs.
  Entry m_Entry;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_RECORD_H
