#ifndef KNAPWEEDLOFT_POLICY_IDEMPOTENCYTABLE_H
#define KNAPWEEDLOFT_POLICY_IDEMPOTENCYTABLE_H

#include "policy/DedupeState.h"
#include "policy/ForwardLedger.h"

#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// Records requests with an idempotency key for a retention period, so that a
/// resend gets the answer of the first request instead of a second run.
///
/// Within that period no key is dropped: when the answers exceed their limit
/// in bytes the oldest entries become Unknown, and when the table is full new
/// keys are refused. Not thread-safe.
///
/// \code
///   switch (Table.claim(Name, RequestHash, Now)) { ... }
///   Table.finish(Name, store(Answer), Answer.size(), Now);
/// \endcode
class IdempotencyTable {
public:
  struct Options {
    /// Since the last update of the entry.
    absl::Duration m_RetentionPeriod = absl::Minutes(10);
    std::size_t m_MaxAnswerBytes = 4 << 20;
    std::size_t m_MaxEntries = 50'000;
  };

  explicit IdempotencyTable(const Options &Settings) : m_Settings(Settings) {}

  /// \p Name is made of the customer and the key; \p RequestHash covers method,
  /// path and body.
  [[nodiscard]] DedupeClaim claim(const std::string &Name,
                                  std::uint64_t RequestHash, absl::Time Now);

  /// The run ended with a complete answer.
  void finish(const std::string &Name, OutcomeId Answer, std::size_t Bytes,
              absl::Time Now);
  /// The request may have run, and its answer is not available.
  void markUnknown(const std::string &Name, absl::Time Now);
  /// The request certainly did not run: the key may be used again.
  void release(const std::string &Name);

  /// Merges the report of another daemon. The report of a start never replaces
  /// an entry.
  /// \returns whether an entry was added or updated.
  bool adopt(const std::string &Name, std::uint64_t RequestHash,
             DedupeState State, OutcomeId Answer, std::size_t Bytes,
             absl::Time Now);

  struct Entry {
    std::uint64_t m_RequestHash = 0;
    DedupeState m_State = DedupeState::Running;
    OutcomeId m_Answer = 0;
    std::size_t m_Bytes = 0;
    absl::Time m_Changed;
  };

  /// \returns the entry, or null. Valid until the next non-const call.
  [[nodiscard]] const Entry *find(const std::string &Name) const;
  [[nodiscard]] std::vector<std::string> names() const;
  /// \returns the answers that were evicted since the last call.
  [[nodiscard]] std::vector<OutcomeId> takeEvicted();
  [[nodiscard]] std::size_t size() const { return m_Entries.size(); }

private:
  struct Change {
    std::string m_Name;
    absl::Time m_At;
  };

  void update(const std::string &Name, Entry &Record, DedupeState State,
              OutcomeId Answer, std::size_t Bytes, absl::Time Now);
  void dropAnswer(Entry &Record);
  void expire(absl::Time Now);
  void evictAnswers();

  Options m_Settings;
  absl::node_hash_map<std::string, Entry> m_Entries;
  std::deque<Change> m_Changes; ///< Oldest first; later ones supersede.
  std::deque<std::string> m_AnswerOrder; ///< Oldest answer first.
  std::size_t m_AnswerBytes = 0;
  std::vector<OutcomeId> m_Evicted;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_IDEMPOTENCYTABLE_H
