#ifndef KNAPWEEDLOFT_LEDGER_VERDICT_H
#define KNAPWEEDLOFT_LEDGER_VERDICT_H

#include "ledger/CallRecord.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::ledger {

/// What the targets of a site wrote.
struct TargetBook {
  absl::flat_hash_map<std::string, std::uint32_t> m_Starts; ///< By call id.
  std::uint64_t m_KeysSeen = 0;

  /// Adds the lines of a target's journal.
  void read(const std::string &Path);
};

/// The joined ledgers.
struct Verdict {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Sendings = 0;
  std::uint64_t m_Starts = 0;
  std::array<std::uint64_t, CallEndCount> m_Ends{};

  std::uint64_t m_Doubled = 0;       ///< Not idempotent, started twice.
  std::uint64_t m_AnsweredUnrun = 0; ///< A whole answer, but no start.
  std::uint64_t m_FalseNotRun = 0;   ///< Every sending "not run", but a start.
  std::uint64_t m_Wrong = 0;         ///< Not its own whole answer.
  std::uint64_t m_KeysSeen = 0;      ///< Callers' keys shown to a target.
  std::vector<std::string> m_Examples; ///< The first faults.

  [[nodiscard]] bool holds() const {
    return m_Doubled + m_AnsweredUnrun + m_FalseNotRun + m_Wrong + m_KeysSeen ==
           0;
  }
};

[[nodiscard]] Verdict join(const std::vector<CallRecord> &Calls,
                           const TargetBook &Targets);

} // namespace knapweedloft::ledger

#endif // KNAPWEEDLOFT_LEDGER_VERDICT_H
