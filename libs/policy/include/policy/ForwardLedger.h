#ifndef KNAPWEEDLOFT_POLICY_FORWARDLEDGER_H
#define KNAPWEEDLOFT_POLICY_FORWARDLEDGER_H

#include "model/ForwardId.h"
#include "policy/ForwardBeginResult.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Identifies an outcome that the user of a ForwardLedger stores. 0: none.
using OutcomeId = std::uint64_t;

/// The target side's record of forwards. No forward runs twice, and after a
/// query was answered NotRun the forward never runs.
///
/// Every forward is recorded before the target sees it. Outcomes are kept for
/// a limited time and up to a limit in bytes. A forward whose record was
/// dropped stays closed: one whose sequence number is not above the highest
/// dropped one of its entry daemon is never Fresh, however long a copy of it
/// was in transit. Not thread-safe.
///
/// \code
///   if (Ledger.begin(Id, Now) != ForwardBeginResult::Fresh)
///     return;
///   run(Id);
///   Ledger.finish(Id, store(Answer), Answer.size(), Now);
///   for (OutcomeId Evicted : Ledger.takeEvicted())
///     drop(Evicted);
/// \endcode
class ForwardLedger {
public:
  struct Options {
    /// Since the forward finished or was closed by a query.
    absl::Duration m_RetentionPeriod = absl::Minutes(1);
    std::size_t m_MaxOutcomeBytes = 4 << 20;
    std::size_t m_MaxEntries = 100'000; ///< Finished and closed.
  };

  explicit ForwardLedger(const Options &Settings) : m_Settings(Settings) {}

  /// Records a forward that was received.
  [[nodiscard]] ForwardBeginResult begin(const model::ForwardId &Id,
                                         absl::Time Now);

  /// The forward has its outcome; \p Bytes are counted against the limit.
  void finish(const model::ForwardId &Id, OutcomeId Outcome, std::size_t Bytes,
              absl::Time Now);

  /// Answers the entry side's status query. After NotRun the forward is closed
  /// and never runs.
  [[nodiscard]] ForwardStatus query(const model::ForwardId &Id, absl::Time Now);

  /// \returns the outcome of a finished forward, 0 if it was evicted.
  [[nodiscard]] OutcomeId outcomeOf(const model::ForwardId &Id) const;

  /// \returns the outcomes that were evicted since the last call.
  [[nodiscard]] std::vector<OutcomeId> takeEvicted();

  [[nodiscard]] std::size_t outcomeBytes() const { return m_OutcomeBytes; }
  [[nodiscard]] std::size_t entries() const { return m_Entries.size(); }

private:
  enum class State : std::uint8_t { Running, Finished, Closed };

  struct Entry {
    State m_State = State::Running;
    OutcomeId m_Outcome = 0;
    std::size_t m_Bytes = 0;
  };

  struct Ended {
    model::ForwardId m_Id;
    absl::Time m_At;
  };

  [[nodiscard]] bool isDropped(const model::ForwardId &Id) const;
  void expire(absl::Time Now);
  void dropOldest();
  void evict(Entry &Record);

  Options m_Settings;
  absl::flat_hash_map<model::ForwardId, Entry> m_Entries;
  std::deque<Ended> m_Ended; ///< Oldest first.
  /// Index in m_Ended; the outcomes before it are evicted.
  std::size_t m_FirstWithOutcome = 0;
  std::size_t m_OutcomeBytes = 0;
  std::vector<OutcomeId> m_Evicted;
  /// Highest sequence number dropped, by incarnation of the entry daemon. Never
  /// shrinks: 16 bytes for each incarnation that ever sent a forward here.
  absl::flat_hash_map<model::Incarnation, std::uint64_t> m_HighestDropped;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FORWARDLEDGER_H
