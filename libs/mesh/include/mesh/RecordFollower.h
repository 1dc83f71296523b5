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
/// Reads all keys once, then waits for what is new by long polls. Where the
/// store has dropped what comes next, all keys are read again; a key that is
/// missing then has been deleted. Records may also come from peers while the
/// store is away. A record never takes the place of a newer one.
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
    /// How long a poll waits for news at most. A connection that has gone
    /// silent is found when that is over. Null: 5 s.
    std::function<absl::Duration()> m_Wait;
    /// Finite: all keys are read again so often, and nothing is polled for.
    absl::Duration m_ReadAllEvery = absl::InfiniteDuration();
    absl::Duration m_LeastPause = absl::Milliseconds(100);
    absl::Duration m_MostPause = absl::Seconds(1);
    /// Calls a task later.
    std::function<void(std::function<void()>, absl::Duration)> m_Later;
    /// A random number in [0, 1).
    std::function<double()> m_Random;
    /// A record is new or changed, or was deleted.
    std::function<void(const StoredRecord &, absl::Time Now)> m_OnRecord;
    /// All keys were read for the first time.
    std::function<void(absl::Time Now)> m_OnFirstRead;
    /// The store answers again, or does not any more.
    std::function<void(bool IsReached, absl::Time Now)> m_OnReach;
  };

  explicit RecordFollower(Options Settings);

  void start(absl::Time Now);

  /// Records that a peer holds.
  void take(const std::vector<StoredRecord> &Records, absl::Time Now);

  /// \returns the records from \p From on, oldest first.
  [[nodiscard]] std::vector<StoredRecord> since(std::uint64_t From) const;
  /// \returns the offset behind the newest record that is known.
  [[nodiscard]] std::uint64_t end() const { return m_End; }
  [[nodiscard]] bool isReached() const { return m_IsReached; }
  [[nodiscard]] bool hasRead() const { return m_HasRead; }
  [[nodiscard]] const absl::btree_map<std::string, StoredRecord> &
  records() const {
    return m_Records;
  }

private:
  void goOn();
  void poll();
  void readAll();
  void onAll(const StoreRead &Read, absl::Time Now);
  void onNew(const StoreRead &Read, absl::Time Now);
  void put(const StoredRecord &Record, absl::Time Now);
  void onFailure(absl::Time Now);
  void onAnswer(absl::Time Now);

  Options m_Settings;
  absl::btree_map<std::string, StoredRecord> m_Records;
  std::uint64_t m_End = 0;  ///< Behind the newest known record.
  std::uint64_t m_Next = 0; ///< Offset of the store's next record to read.
  bool m_HasRead = false;
  bool m_IsReached = false;
  bool m_IsToldOfReach = false;
  int m_Failures = 0; ///< In a row.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_RECORDFOLLOWER_H
