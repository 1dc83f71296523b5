#ifndef KNAPWEEDLOFT_MESH_TESTS_ROLLOUTSTORE_H
#define KNAPWEEDLOFT_MESH_TESTS_ROLLOUTSTORE_H

#include "mesh/NodePorts.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace knapweedloft::mesh::testing {

/// The topic of the status in the stand-in store of a RolloutFleet: writes that
/// hold only at the end of the topic, and the faults of the platform's store.
class RolloutStore {
public:
  /// Runs a task after a delay; of a daemon, unless that ends before.
  using Later = std::function<void(absl::Duration, std::function<void()>)>;
  using Clock = std::function<absl::Time()>;

  /// What becomes of writes.
  enum class WriteFault : std::uint8_t {
    None,
    Lost, ///< Done, without an answer.
    Late, ///< Done seconds later if the condition then holds; no answer.
  };

  explicit RolloutStore(Later Always, Clock Now)
      : m_Always(std::move(Always)), m_Clock(std::move(Now)) {}

  /// \returns the port of daemon \p Index; \p Answer runs its tasks.
  [[nodiscard]] NodePorts portsFor(std::size_t Index, const Later &Answer);

  void setAway(bool IsAway) { m_IsAway = IsAway; }
  [[nodiscard]] bool isAway(std::size_t Index) const {
    return m_IsAway || m_TurnedAway.contains(Index);
  }
  void turnAway(std::size_t Index) { m_TurnedAway.insert(Index); }
  void setWriteFault(WriteFault Fault) { m_Fault = Fault; }
  /// Comes back without its last \p Records.
  void restore(std::size_t Records);
  [[nodiscard]] std::uint64_t era() const { return m_Era; }

  /// \returns the newest status, as the operator reads it.
  [[nodiscard]] std::optional<RolloutStatus> status() const;
  /// All outcomes that were ever written, those of lost records too.
  [[nodiscard]] const std::vector<RolloutStatus> &outcomes() const {
    return m_Outcomes;
  }
  [[nodiscard]] std::size_t writes() const { return m_Writes; }
  [[nodiscard]] std::size_t reads() const { return m_Reads; }

private:
  [[nodiscard]] StoreOutcome append(const StoredRecord &Record,
                                    std::uint64_t At);
  void write(std::size_t Index, const Later &Answer, const StoredRecord &Record,
             std::uint64_t At, const StorePort::OnWritten &OnWritten);

  Later m_Always;
  Clock m_Clock;
  bool m_IsAway = false;
  WriteFault m_Fault = WriteFault::None;
  std::set<std::size_t> m_TurnedAway;
  std::vector<StoredRecord> m_Records;
  std::uint64_t m_Era = 1;
  std::vector<RolloutStatus> m_Outcomes;
  std::size_t m_Writes = 0;
  std::size_t m_Reads = 0;
};

} // namespace knapweedloft::mesh::testing

#endif // KNAPWEEDLOFT_MESH_TESTS_ROLLOUTSTORE_H
