#ifndef KNAPWEEDLOFT_POLICY_FORWARDLEDGER_H
#define KNAPWEEDLOFT_POLICY_FORWARDLEDGER_H

#include "model/ForwardId.h"
#include "policy/ForwardEntry.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Names an outcome that the user of a ForwardLedger stores. 0: none.
using OutcomeId = std::uint64_t;

/// The target side's record of forwards: none runs twice, and a query that
/// says "not run" keeps the forward from ever running.
///
/// Every forward is recorded before the target sees it. Outcomes are kept for
/// a time and a number of bytes. What is forgotten stays closed: a forward of
/// an entry daemon whose number is not above the highest forgotten one is
/// never fresh, however long its last copy was under way. Not thread-safe.
///
/// \code
///   if (Ledger.begin(Id, Now) != ForwardEntry::Fresh)
///     return;
///   run(Id);
///   Ledger.finish(Id, store(Answer), Answer.size(), Now);
///   for (OutcomeId Gone : Ledger.takeEvicted())
///     drop(Gone);
/// \endcode
class ForwardLedger {
public:
  struct Options {
    absl::Duration m_KeepFor = absl::Minutes(1); ///< From finish or query.
    std::size_t m_MaxOutcomeBytes = 4 << 20;
    std::size_t m_MaxEntries = 100'000; ///< Finished and closed ones.
  };

  explicit ForwardLedger(const Options &Settings) : m_Settings(Settings) {}

  /// Records a forward that has arrived.
  [[nodiscard]] ForwardEntry begin(const model::ForwardId &Id, absl::Time Now);

  /// The forward has its outcome; \p Bytes are counted against the limit.
  void finish(const model::ForwardId &Id, OutcomeId Outcome, std::size_t Bytes,
              absl::Time Now);

  /// Answers the entry side's question. NotRun closes the door.
  [[nodiscard]] ForwardFate query(const model::ForwardId &Id, absl::Time Now);

  /// \returns the outcome of a finished forward, 0 if it was evicted.
  [[nodiscard]] OutcomeId outcomeOf(const model::ForwardId &Id) const;

  /// \returns the outcomes that were given up since the last call.
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

  [[nodiscard]] bool isForgotten(const model::ForwardId &Id) const;
  void expire(absl::Time Now);
  void forgetOldest();
  void evict(Entry &Held);

  Options m_Settings;
  absl::flat_hash_map<model::ForwardId, Entry> m_Entries;
  std::deque<Ended> m_Ended;   ///< Oldest first.
  std::size_t m_FirstKept = 0; ///< Before it in m_Ended, outcomes are gone.
  std::size_t m_OutcomeBytes = 0;
  std::vector<OutcomeId> m_Evicted;
  /// The highest number forgotten, for each entry daemon. 16 bytes for each
  /// life of a daemon that ever sent a forward here.
  absl::flat_hash_map<model::Incarnation, std::uint64_t> m_Forgotten;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FORWARDLEDGER_H
