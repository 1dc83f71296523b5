#ifndef KNAPWEEDLOFT_PLATFORM_LOGREAD_H
#define KNAPWEEDLOFT_PLATFORM_LOGREAD_H

#include "model/LogOffset.h"

#include <string>
#include <vector>

namespace knapweedloft::platform {

/// A record of the log.
struct LogRecord {
  model::LogOffset m_Offset = 0;
  std::string m_Payload;
};

/// The result of one read of a stream.
struct LogRead {
  model::LogOffset m_First = 0;     ///< Oldest record still kept.
  model::LogOffset m_End = 0;       ///< One past the newest record.
  std::vector<LogRecord> m_Records; ///< In order, without gaps.
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_LOGREAD_H
