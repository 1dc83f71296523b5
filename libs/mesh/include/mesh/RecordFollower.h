#ifndef KNAPWEEDLOFT_MESH_RECORDFOLLOWER_H
#define KNAPWEEDLOFT_MESH_RECORDFOLLOWER_H

#include "mesh/StorePort.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// Keeps the newest record of every key of one topic of the store.
///
/// Reads all keys once, then follows the topic by long polls. If the store no
/// longer holds the next offset, all keys are read again; a key that is missing
/// then has been deleted. While the store is unavailable, records may also come
/// from peers. A record never replaces one of a higher position, which is the
/// pair of era and offset. Belongs to the thread of the event loop, on which
/// all hooks run.
///
/// A new era means that the store came back from an older copy: offsets are
/// given out again, and records are missing until they are written again. All
/// keys are then read anew. For the hold time, what only that copy holds
/// neither replaces nor deletes a record that may be newer; what is written in
/// the new era does.
///
/// \code
///   RecordFollower Follower({.m_Topic = "...", .m_Port = Port, ...});
///   Follower.start(Now);
/// \endcode
class RecordFollower {
public:
  struct Options {
    std::string m_Topic;
    StorePort m_Port;
    /// Longest time that a poll waits for a record. A connection on which
    /// nothing arrives any more is detected when it is over. Null: 5 s.
    std::function<absl::Duration()> m_PollTimeout;
    /// Finite: all keys are read again at this interval, give or take half of
    /// it at random, instead of polling.
    absl::Duration m_ReadAllInterval = absl::InfiniteDuration();
    /// Shortest time between a poll that brought records and the next one:
    /// records that come together then cost one call. Null: none.
    std::function<absl::Duration()> m_PollPause;
    /// \returns whether records may be missed without a poll; asked again after
    /// the pause between polls. Null: always.
    std::function<bool()> m_IsPollNeeded;
    absl::Duration m_MinRetryDelay = absl::Milliseconds(100);
    absl::Duration m_MaxRetryDelay = absl::Seconds(1);
    /// How long the writers may take to write again what a copy lacks.
    absl::Duration m_HoldTime = absl::Seconds(10);
    /// \returns whether \p Read, of which the offsets do not tell, is newer
    /// than \p Known. Null: it is not.
    std::function<bool(const StoredRecord &Known, const StoredRecord &Read)>
        m_Supersedes;
    /// Runs a task after a delay.
    std::function<void(std::function<void()>, absl::Duration)> m_Schedule;
    /// \returns a random number in [0, 1).
    std::function<double()> m_Random;
    /// A record was added, changed or deleted.
    std::function<void(const StoredRecord &, absl::Time Now)> m_OnRecord;
    /// All keys have been read for the first time.
    std::function<void(absl::Time Now)> m_OnFirstRead;
    /// The store came back from an older copy. Null: ignored.
    std::function<void(std::uint64_t Era, absl::Time Now)> m_OnNewEra;
    /// The store became available or unavailable; also called for the first
    /// outcome after the start.
    std::function<void(bool IsAvailable, absl::Time Now)> m_OnAvailability;
  };

  explicit RecordFollower(Options Settings);

  void start(absl::Time Now);
  /// Reads all keys now.
  void restart();

  /// Merges records that a peer sent, which holds all up to \p End of \p Era.
  void merge(const std::vector<StoredRecord> &Records, std::uint64_t Era,
             std::uint64_t End, absl::Time Now);

  /// \returns the records that one lacks who holds all up to \p From of \p Era,
  /// oldest first.
  [[nodiscard]] std::vector<StoredRecord>
  recordsSince(std::uint64_t Era, std::uint64_t From) const;
  /// \returns the newest known era of the store.
  [[nodiscard]] std::uint64_t era() const { return m_Era; }
  /// \returns one more than the offset of the newest known record of that era.
  [[nodiscard]] std::uint64_t endOffset() const { return m_End; }
  [[nodiscard]] bool isStoreAvailable() const { return m_IsAvailable; }
  [[nodiscard]] bool hasRead() const { return m_HasRead; }
  [[nodiscard]] const absl::btree_map<std::string, StoredRecord> &
  records() const {
    return m_Records;
  }

private:
  void scheduleNextRead();
  void poll();
  void pollAfterPause();
  void readAll();
  void onReadAll(const StoreReadResult &Read, absl::Time Now);
  void onPolled(const StoreReadResult &Read, absl::Time Now);
  void put(const StoredRecord &Record, absl::Time Now);
  /// \returns whether \p Read may be older than \p Known, though of a newer
  /// era.
  [[nodiscard]] bool isHeld(const StoredRecord &Known, const StoredRecord &Read,
                            absl::Time Now) const;
  void deleteMissing(const StoreReadResult &Read, absl::Time Now);
  /// \returns false if the answer is of an older era than the known one.
  bool noteEra(std::uint64_t Era, absl::Time Now);
  void onFailure(absl::Time Now);
  void onSuccess(absl::Time Now);
  /// Runs \p Task later unless the reads were restarted in between.
  void schedule(std::function<void()> Task, absl::Duration After);

  Options m_Settings;
  absl::btree_map<std::string, StoredRecord> m_Records;
  std::uint64_t m_Era = 0;
  bool m_IsEraKnown = false;
  absl::Time m_HoldUntil = absl::InfinitePast();
  std::uint64_t m_End = 0;     ///< One past the newest known record of m_Era.
  std::uint64_t m_ReadEra = 0; ///< Of m_Next.
  std::uint64_t m_Next = 0;    ///< Offset from which the next poll reads.
  std::uint64_t m_Chain = 0; ///< Answers to the calls of former ones are void.
  bool m_HasRead = false;
  bool m_IsAvailable = false;
  bool m_IsAvailabilityReported = false;
  int m_Failures = 0; ///< Consecutive ones.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_RECORDFOLLOWER_H
