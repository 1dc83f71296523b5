#ifndef KNAPWEEDLOFT_LEDGER_CALLRECORD_H
#define KNAPWEEDLOFT_LEDGER_CALLRECORD_H

#include "model/NameTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::ledger {

/// What a call asks for.
enum class CallKind : std::uint8_t {
  Plain,     ///< Not idempotent, sent once.
  Keyed,     ///< Not idempotent, sent again with its Idempotency-Key.
  Idempotent ///< May run again.
};

inline constexpr model::NameTable<CallKind, 3> CallKindNames{
    {"plain", "keyed", "idempotent"}};

/// How one sending of a call ended for its caller.
enum class CallEnd : std::uint8_t {
  Whole,   ///< The whole answer to this call.
  NotRun,  ///< A refusal that says it did not run.
  Unknown, ///< A refusal that says it may have run.
  None,    ///< No answer: the daemon died, or did not answer in time.
  NotSent, ///< No connection to the daemon.
  Wrong    ///< An answer to another call, or a cut one passed as whole.
};

inline constexpr std::size_t CallEndCount = 6;
inline constexpr model::NameTable<CallEnd, CallEndCount> CallEndNames{
    {"whole", "not_run", "unknown", "no_answer", "not_sent", "wrong"}};

/// One call as its caller recorded it.
struct CallRecord {
  std::string m_Id;
  CallKind m_Kind = CallKind::Plain;
  std::vector<CallEnd> m_Ends; ///< One for each time it was sent.
};

} // namespace knapweedloft::ledger

#endif // KNAPWEEDLOFT_LEDGER_CALLRECORD_H
