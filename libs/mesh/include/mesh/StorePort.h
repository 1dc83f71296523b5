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

enum class StoreOutcome : std::uint8_t {
  Done,
  Expired, ///< What was asked for is not held any more.
  Refused, ///< Nothing was done: busy, over a limit, or not allowed.
  Unknown  ///< No answer: it may have been done or may yet be.
};

inline constexpr model::NameTable<StoreOutcome, 4> StoreOutcomeNames{
    {"done", "expired", "refused", "unknown"}};

/// What a read of a topic brought.
struct StoreRead {
  StoreOutcome m_Outcome = StoreOutcome::Unknown;
  std::vector<StoredRecord> m_Records;
  std::uint64_t m_End = 0; ///< Offset behind the last record of the topic.
};

/// Calls to the platform's store, without blocking. Hooks run once each, later,
/// on the thread of the loop.
struct StorePort {
  using OnRead = std::function<void(StoreRead, absl::Time Now)>;
  using OnWritten = std::function<void(StoreOutcome, absl::Time Now)>;

  /// Reads the newest record of every key of \p Topic.
  std::function<void(const std::string &Topic, OnRead)> m_ReadNewest;
  /// Reads on from an offset; answers when there is a record or \p Wait over.
  std::function<void(const std::string &Topic, std::uint64_t From,
                     absl::Duration Wait, OnRead)>
      m_ReadFrom;
  std::function<void(const std::string &Topic, const StoredRecord &, OnWritten)>
      m_Write;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_STOREPORT_H
