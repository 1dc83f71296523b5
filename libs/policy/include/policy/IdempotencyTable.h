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

/// Remembers requests with an idempotency key for a window, so that a resend
/// gets the first one's answer instead of a second run.
///
/// Within the window nothing is forgotten: when answers take too many bytes
/// the oldest become unknown, and when entries are too many, new ones are
/// refused. Not thread-safe.
///
/// \code
///   switch (Table.claim(Name, RequestHash, Now)) { ... }
///   Table.finish(Name, store(Answer), Answer.size(), Now);
/// \endcode
class IdempotencyTable {
public:
  struct Options {
    absl::Duration m_KeepFor = absl::Minutes(10); ///< From the last change.
    std::size_t m_MaxAnswerBytes = 4 << 20;
    std::size_t m_MaxEntries = 50'000;
  };

  explicit IdempotencyTable(const Options &Settings) : m_Settings(Settings) {}

  /// \p Name is the customer and the key; \p RequestHash covers method, path
  /// and body.
  [[nodiscard]] DedupeClaim claim(const std::string &Name,
                                  std::uint64_t RequestHash, absl::Time Now);

  /// The run has a whole answer.
  void finish(const std::string &Name, OutcomeId Answer, std::size_t Bytes,
              absl::Time Now);
  /// The run may have happened, without an answer.
  void lose(const std::string &Name, absl::Time Now);
  /// The request certainly did not run: the key is free again.
  void release(const std::string &Name);

  /// Takes over what another daemon tells. A start never replaces an entry.
  /// \returns whether there was no entry, or it was brought up to date.
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

  /// \returns the entry, or null. Valid until the next call that changes.
  [[nodiscard]] const Entry *find(const std::string &Name) const;
  [[nodiscard]] std::vector<std::string> names() const;
  /// \returns the answers that were given up since the last call.
  [[nodiscard]] std::vector<OutcomeId> takeEvicted();
  [[nodiscard]] std::size_t size() const { return m_Entries.size(); }

private:
  struct Change {
    std::string m_Name;
    absl::Time m_At;
  };

  void change(const std::string &Name, Entry &Held, DedupeState State,
              OutcomeId Answer, std::size_t Bytes, absl::Time Now);
  void dropAnswer(Entry &Held);
  void expire(absl::Time Now);
  void shrink();

  Options m_Settings;
  absl::node_hash_map<std::string, Entry> m_Entries;
  std::deque<Change> m_Changes; ///< Oldest first; later changes supersede.
  std::deque<std::string> m_Answered; ///< Oldest first.
  std::size_t m_AnswerBytes = 0;
  std::vector<OutcomeId> m_Evicted;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_IDEMPOTENCYTABLE_H
