#ifndef KNAPWEEDLOFT_PLATFORM_REPLICAFEED_H
#define KNAPWEEDLOFT_PLATFORM_REPLICAFEED_H

#include "platform/LogRead.h"
#include "platform/OffsetExpired.h"
#include "state/ImageParts.h"
#include "state/StateReplica.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <optional>
#include <string>

namespace knapweedloft::platform {

/// Feeds a state replica from a follower of the log.
///
/// While the replica's next record is still kept it is read from there. Once
/// that has expired the feed scans what is left of the log for a whole image
/// that covers at least the expired records, loads it and reads on from its
/// offset; an image from a peer ends the scan too. Thread-safe; no lock is held
/// while the replica calls its hooks.
///
/// \code
///   ReplicaFeed Feed(Replica);
///   LogFollower Follower(
///       {.m_Next = [&] { return Feed.next(); },
///        .m_OnRead = [&](const LogRead &Read, auto &) { Feed.take(Read); },
///        .m_OnExpired = [&](const OffsetExpired &E) { Feed.expire(E); },
///        ...});
/// \endcode
class ReplicaFeed {
public:
  /// \p Replica must outlive the feed.
  explicit ReplicaFeed(state::StateReplica &Replica) : m_Replica(Replica) {}

  /// \returns where to read the log on.
  [[nodiscard]] model::LogOffset next();

  void take(const LogRead &Read);
  void expire(const OffsetExpired &Expired);

  /// \returns whether records are missing that the log no longer keeps, and no
  /// image has replaced them yet.
  [[nodiscard]] bool isSearching();

  /// \returns the offset of the newest whole image that was read from the log;
  /// 0 if none was.
  [[nodiscard]] model::LogOffset imageOffset();

  /// \returns the offset of the newest part of an image that was read, whole
  /// or not, by which a daemon sees that another is writing one; 0 if none.
  [[nodiscard]] model::LogOffset partOffset();

private:
  /// \returns the newest whole image that helps, or nothing.
  std::optional<std::string> scan(const LogRead &Read)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  std::optional<std::string> takePart(const LogRecord &Record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  void load(const std::string &Image);
  void endSearchIfCovered() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  state::StateReplica &m_Replica;
  absl::Mutex m_Mutex;
  state::ImageAssembler m_Assembler ABSL_GUARDED_BY(m_Mutex);
  bool m_IsSearching ABSL_GUARDED_BY(m_Mutex) = false;
  model::LogOffset m_ScanAt ABSL_GUARDED_BY(m_Mutex) = 0;
  model::LogOffset m_First ABSL_GUARDED_BY(m_Mutex) = 0;
  model::LogOffset m_ImageOffset ABSL_GUARDED_BY(m_Mutex) = 0;
  model::LogOffset m_PartOffset ABSL_GUARDED_BY(m_Mutex) = 0;
};

} // namespace knapweedloft::platform

#endif // KNAPWEEDLOFT_PLATFORM_REPLICAFEED_H
