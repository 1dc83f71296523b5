#ifndef KNAPWEEDLOFT_PLATFORM_IMAGEWRITER_H
#define KNAPWEEDLOFT_PLATFORM_IMAGEWRITER_H

#include "platform/Appender.h"
#include "platform/LogRead.h"
#include "platform/ReplicaFeed.h"
#include "state/ImageSchedule.h"
#include "state/StateReplica.h"

#include "absl/base/thread_annotations.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::platform {

/// Appends images of the state to the log before records expire, so that a
/// daemon can start from what the log still keeps.
///
/// Called by a follower of the log for each read. A part that cannot be
/// appended leaves a torn image, which readers ignore. Thread-safe.
///
/// \code
///   .m_OnRead = [&](const LogRead &Read, const LogFreshness &) {
///     Feed.take(Read);
///     Images.review(Read, monotonicNow());
///   }
/// \endcode
class ImageWriter {
public:
  struct Options {
    state::StateReplica *m_Replica = nullptr; ///< Must outlive the writer.
    ReplicaFeed *m_Feed = nullptr;            ///< Must outlive the writer.
    Appender *m_Appender = nullptr;           ///< Must outlive the writer.
    state::ImageSchedule::Options m_Schedule = {};
    std::size_t m_MaxPartBytes = std::size_t{64} << 10;
    absl::Duration m_PartDeadline = absl::Seconds(10);
    /// Lifetime seed of the schedule's randomness; differs between daemons.
    std::uint64_t m_Seed = 0;
  };

  explicit ImageWriter(const Options &Settings);

  /// Writes an image if one is due and it is this daemon's turn.
  /// \returns how many parts were queued.
  std::size_t review(const LogRead &Read, absl::Time Now);

  /// \returns how many images this daemon has begun to write.
  [[nodiscard]] std::uint64_t written();

private:
  std::size_t write(absl::Time Now);

  const Options m_Settings;
  absl::Mutex m_Mutex;
  state::ImageSchedule m_Schedule ABSL_GUARDED_BY(m_Mutex);
  absl::InsecureBitGen m_Random ABSL_GUARDED_BY(m_Mutex);
  std::uint64_t m_Written ABSL_GUARDED_BY(m_Mutex) = 0;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_IMAGEWRITER_H
