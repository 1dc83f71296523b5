#ifndef KNAPWEEDLOFT_LOGSERVICE_LOGFAULTS_H
#define KNAPWEEDLOFT_LOGSERVICE_LOGFAULTS_H

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedloft::logservice {

/// Faults that the stand-in shows until they are set anew. A count goes down
/// with each use; 0 is off.
struct LogFaults {
  absl::Duration m_Slow;                ///< Added to every call.
  bool m_IsDown = false;                ///< Every call is answered with 503.
  bool m_IsMute = false;                ///< No call is answered.
  bool m_IsFull = false;                ///< Appends are answered with 507.
  std::uint32_t m_LoseAnswers = 0;      ///< Appends take effect unanswered.
  std::uint32_t m_DuplicateAppends = 0; ///< Appends take effect twice.
  std::uint32_t m_RepeatRecords = 0;    ///< Reads show each record twice.
  std::uint32_t m_GarbageAnswers = 0;   ///< Calls are answered with garbage.
  std::uint32_t m_GarbageRecords = 0;   ///< Appends follow a garbage record.
};

/// Parses the body of `POST /faults`: a JSON object of slow_ms, down, mute,
/// full, lose_answers, duplicate_appends, repeat_records, garbage_answers and
/// garbage_records. Fields that are missing are off.
/// \throws std::invalid_argument if it is not such an object.
[[nodiscard]] LogFaults parseFaults(std::string_view Text);

} // namespace knapweedloft::logservice

#endif // KNAPWEEDLOFT_LOGSERVICE_LOGFAULTS_H
