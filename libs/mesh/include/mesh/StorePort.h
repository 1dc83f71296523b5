#ifndef KNAPWEEDLOFT_MESH_STOREPORT_H
#define KNAPWEEDLOFT_MESH_STOREPORT_H

#include "mesh/StoredRecord.h"
#include "model/NameTable.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// Outcome of a call to the store.
enum class StoreOutcome : std::uint8_t {
  Done,
  Expired, ///< The store no longer holds the requested offset.
  Refused, ///< Not done: busy, over a limit, or not allowed.
  Unknown, ///< No answer: it may have been done, or still be.
  Conflict ///< Not done: the topic does not end at the expected offset.
};

inline constexpr model::NameTable<StoreOutcome, 5> StoreOutcomeNames{
    {"done", "expired", "refused", "unknown", "conflict"}};

/// Result of a read of a topic.
struct StoreReadResult {
  StoreOutcome m_Outcome = StoreOutcome::Unknown;
  std::vector<StoredRecord> m_Records;
  std::uint64_t m_End = 0; ///< One past the offset of the topic's last record.
  /// Rises each time the store comes back from an older copy and gives out
  /// offsets again.
  std::uint64_t m_Era = 0;
};

/// Non-blocking calls to the platform's store. Each callback runs exactly once,
/// after the call has returned, on the thread of the event loop.
struct StorePort {
  using OnRead = std::function<void(StoreReadResult, absl::Time Now)>;
  using OnWritten = std::function<void(StoreOutcome, absl::Time Now)>;

  /// Reads the newest record of every key of \p Topic.
  std::function<void(const std::string &Topic, OnRead)> m_ReadNewest;
  /// Long poll: reads from offset \p From on; answers as soon as there is a
  /// record, or when \p Wait is over.
  std::function<void(const std::string &Topic, std::uint64_t From,
                     absl::Duration Wait, OnRead)>
      m_ReadFrom;
  std::function<void(const std::string &Topic, const StoredRecord &, OnWritten)>
      m_Write;
  /// Writes only if the topic ends at the offset \p At then.
  std::function<void(const std::string &Topic, const StoredRecord &,
                     std::uint64_t At, OnWritten)>
      m_WriteAt;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_STOREPORT_H
