#ifndef KNAPWEEDLOFT_STATE_STOREDRECORD_H
#define KNAPWEEDLOFT_STATE_STOREDRECORD_H

#include "model/LogOffset.h"

#include <string>

namespace knapweedloft::state {

/// A record of the configuration stream as it is passed between daemons.
struct StoredRecord {
  model::LogOffset m_Offset = 0;
  std::string m_Payload;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_STOREDRECORD_H
