#ifndef KNAPWEEDLOFT_MODEL_REFUSALREASON_H
#define KNAPWEEDLOFT_MODEL_REFUSALREASON_H

#include "model/NameTable.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::model {

/// Why a request was answered by the system itself instead of by a target.
enum class RefusalReason : std::uint8_t {
  None,
  BadRequest,
  BadKey,
  UnknownRoute,
  BodyTooLarge,
  OverRate,
  Overloaded,
  DeadlineTooShort,
  DeadlinePassed,
  RetryBudgetSpent,
  NoTarget,
  StateStale,
  Quarantined,
  Stopping,
  IdempotencyMismatch,
  OutcomeUnknown,
  BadAnswer,
  Cancelled,
  StaleGrant,
  WrongIncarnation,
  Internal,
  RateUnavailable,
};

inline constexpr std::size_t RefusalReasonCount = 22;

inline constexpr NameTable<RefusalReason, RefusalReasonCount>
    RefusalReasonNames{{"none",
                        "bad-request",
                        "bad-key",
                        "unknown-route",
                        "body-too-large",
                        "over-rate",
                        "overloaded",
                        "deadline-too-short",
                        "deadline-passed",
                        "retry-budget-spent",
                        "no-target",
                        "state-stale",
                        "quarantined",
                        "stopping",
                        "idempotency-mismatch",
                        "outcome-unknown",
                        "bad-answer",
                        "cancelled",
                        "stale-grant",
                        "wrong-incarnation",
                        "internal",
                        "rate-unavailable"}};

/// \returns the HTTP status that a caller sees for \p Reason.
[[nodiscard]] int httpStatusOf(RefusalReason Reason);

/// \returns whether another target may be tried after \p Reason, provided the
/// request did not run: false where the refusal holds for every target.
[[nodiscard]] bool mayTryElsewhere(RefusalReason Reason);

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_REFUSALREASON_H
