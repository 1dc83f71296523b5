#ifndef KNAPWEEDLOFT_STATE_STATEREPLICA_H
#define KNAPWEEDLOFT_STATE_STATEREPLICA_H

#include "state/ChangeOutcome.h"
#include "state/SnapshotStore.h"
#include "state/StoredRecord.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::state {

enum class ApplyResult : std::uint8_t {
  Applied,
  AlreadyApplied, ///< The state is past this record.
  Gap,            ///< Records before this one are missing.
};

/// A daemon's copy of the fleet's state, fed by the log or by peers.
///
/// It never goes back: older records and images are ignored. Thread-safe;
/// readers of store() take no lock. Hooks run on the feeding thread, without a
/// lock held.
///
/// \code
///   StateReplica Replica;
///   Replica.onAdvance([](model::LogOffset Offset) { wakeWaiters(Offset); });
///   Replica.applyRecord(Record.m_Offset, Record.m_Payload);
/// \endcode
class StateReplica {
public:
  struct Options {
    std::size_t m_KeptRecords = 8192;               ///< For peers.
    std::size_t m_KeptBytes = std::size_t{4} << 20; ///< For peers.
  };

  explicit StateReplica(Options Limits);
  StateReplica() : StateReplica(Options{}) {}
  ~StateReplica();

  ApplyResult applyRecord(model::LogOffset Offset, std::string_view Payload);

  /// Applies records in order and publishes once at the end; stops at the
  /// first gap. \returns the result for the last record that was looked at;
  /// AlreadyApplied if \p Records is empty.
  ApplyResult applyRecords(const std::vector<StoredRecord> &Records);

  /// Replaces the state by the image if the image is further.
  /// \returns whether it was taken.
  /// \throws StateError if \p Bytes are not an image.
  bool loadImage(std::string_view Bytes);

  [[nodiscard]] std::string image() const;

  [[nodiscard]] const SnapshotStore &store() const;

  /// Every record before it has been applied.
  [[nodiscard]] model::LogOffset offset() const;

  /// \returns at most \p MaxRecords kept records from \p From on; nothing if
  /// \p From is no longer kept (an image is needed then). An empty list means
  /// that there is nothing newer.
  [[nodiscard]] std::optional<std::vector<StoredRecord>>
  recordsFrom(model::LogOffset From, std::size_t MaxRecords) const;

  [[nodiscard]] std::optional<SettledChange>
  outcomeOf(std::string_view ChangeId) const;

  /// Records that were skipped as garbage since the start.
  [[nodiscard]] std::uint64_t garbageCount() const;

  /// Calls \p Hook after each advance with the offset then reached.
  void onAdvance(std::function<void(model::LogOffset)> Hook);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_STATEREPLICA_H
