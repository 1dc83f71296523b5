#ifndef KNAPWEEDLOFT_STATE_CHANGEOUTCOME_H
#define KNAPWEEDLOFT_STATE_CHANGEOUTCOME_H

#include "model/LogOffset.h"
#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::state {

/// What became of a resource change when the fold reached it.
enum class ChangeOutcome : std::uint8_t {
  Applied,
  RevisionMismatch, ///< Another change came first.
  NotFound,         ///< A deletion of what does not exist.
  UnknownCustomer,  ///< A key or rate of a customer that does not exist.
  CustomerInUse,    ///< A deletion of a customer that has keys or a rate.
  DigestInUse,      ///< Another key has the same digest.
};

inline constexpr model::NameTable<ChangeOutcome, 6> ChangeOutcomeNames{
    {"applied", "revision-mismatch", "not-found", "unknown-customer",
     "customer-in-use", "digest-in-use"}};

/// The outcome of a change and the offset of the record that settled it.
struct SettledChange {
  model::LogOffset m_Offset = 0;
  ChangeOutcome m_Outcome = ChangeOutcome::Applied;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_CHANGEOUTCOME_H
