#ifndef KNAPWEEDLOFT_POLICY_RUNOUTCOME_H
#define KNAPWEEDLOFT_POLICY_RUNOUTCOME_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::policy {

/// How the run of a request at the target ended, as the target side saw it.
enum class RunOutcome : std::uint8_t {
  Success,
  Error,             ///< The target answered with an error.
  Timeout,           ///< No answer before the deadline.
  ConnectionLost,    ///< The connection broke before the answer was complete.
  Cancelled,         ///< The caller gave up; says nothing about the target.
  Shed,              ///< The target answered that it is overloaded (503, 429).
  DownstreamRefused, ///< It failed since a downstream call was refused.
};

inline constexpr model::NameTable<RunOutcome, 7> RunOutcomeNames{
    {"success", "error", "timeout", "connection-lost", "cancelled", "shed",
     "downstream-refused"}};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RUNOUTCOME_H
