#ifndef KNAPWEEDLOFT_PLATFORM_APPENDER_H
#define KNAPWEEDLOFT_PLATFORM_APPENDER_H

#include "platform/AppendOutcome.h"
#include "platform/LogService.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::platform {

/// Appends records on threads of its own, again and again until one attempt is
/// known to have taken effect, the log has no space, or the deadline has
/// passed.
///
/// Only for records of which a second copy does no harm, and whose order does
/// not matter. Thread-safe.
///
/// \code
///   Writer.append({.m_Payload = encodeRecord(Change),
///                  .m_Deadline = Now + absl::Seconds(5),
///                  .m_OnDone = [](const AppendOutcome &Outcome) { ... }});
/// \endcode
class Appender {
public:
  struct Options {
    LogService m_Log;
    std::string m_Stream;
    std::function<absl::Time()> m_Now; ///< Monotonic.
    std::function<double()> m_Random;  ///< Uniform in [0, 1); thread-safe.
    unsigned m_Threads = 2;
    std::size_t m_MaxQueued = 256;
    absl::Duration m_MinBackoff = absl::Milliseconds(50);
    absl::Duration m_MaxBackoff = absl::Seconds(1);
    std::string m_ThreadName = "log-append";
  };

  struct Job {
    std::string m_Payload;
    absl::Time m_Deadline; ///< No attempt begins after it.
    /// Called once, on a thread of the appender; must not block.
    std::function<void(const AppendOutcome &)> m_OnDone = {};
    /// Asked before an attempt is repeated: true if the record has been read
    /// back meanwhile.
    std::function<bool()> m_IsSettled = {};
  };

  explicit Appender(Options Settings);
  /// Waits for the attempts under way; jobs that still wait fail as
  /// unavailable.
  ~Appender();

  /// Queues \p What. \returns false if the queue is full; m_OnDone is not
  /// called then.
  bool append(Job What);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_APPENDER_H
