#ifndef KNAPWEEDLOFT_PLATFORM_LOGFOLLOWER_H
#define KNAPWEEDLOFT_PLATFORM_LOGFOLLOWER_H

#include "model/LogOffset.h"
#include "platform/LogFreshness.h"
#include "platform/LogRead.h"
#include "platform/LogService.h"
#include "platform/OffsetExpired.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::platform {

/// Follows one stream of the log on a thread of its own.
///
/// \code
///   LogFollower Follower({.m_Log = Log,
///                         .m_Stream = "config",
///                         .m_Next = [&] { return Replica.offset(); },
///                         .m_OnRead = applyRecords,
///                         .m_Now = monotonicNow,
///                         .m_Random = randomUnit});
///   Follower.start();
/// \endcode
class LogFollower {
public:
  struct Options {
    LogService m_Log;
    std::string m_Stream;
    /// Where to read on. Asked before each read, so records that came another
    /// way meanwhile are not read again.
    std::function<model::LogOffset()> m_Next;
    /// Called for every answered read, also without records.
    std::function<void(const LogRead &, const LogFreshness &)> m_OnRead;
    /// Called for every failed read.
    std::function<void(const LogFreshness &)> m_OnAway = {};
    /// Called when the record asked for is no longer kept. m_Next is asked
    /// again after a pause.
    std::function<void(const OffsetExpired &)> m_OnExpired = {};
    std::function<absl::Time()> m_Now; ///< Monotonic.
    std::function<double()> m_Random;  ///< Uniform in [0, 1), for jitter.
    std::size_t m_MaxRecords = 1024;   ///< A read.
    absl::Duration m_Wait = absl::Milliseconds(500); ///< Long poll of a read.
    absl::Duration m_MinBackoff = absl::Milliseconds(50);
    absl::Duration m_MaxBackoff = absl::Seconds(2);
    std::string m_ThreadName = "log";
  };

  explicit LogFollower(Options Settings);
  /// Stops and waits for the read under way.
  ~LogFollower();

  /// Begins to follow; without effect if it does already.
  void start();

  /// Stops following; returns when the thread has ended. It can be started
  /// again. Must not be called from a hook.
  void stop();

  /// A resting follower reads no more after the read under way, until it is
  /// told not to rest. Does not wait.
  void setResting(bool IsResting);

  [[nodiscard]] LogFreshness freshness() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_LOGFOLLOWER_H
