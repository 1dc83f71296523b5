#ifndef KNAPWEEDLOFT_TELEMETRY_LOSSOUTCOME_H
#define KNAPWEEDLOFT_TELEMETRY_LOSSOUTCOME_H

#include "model/NameTable.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace knapweedloft::telemetry {

enum class LossKind : std::uint8_t { Served, Late, Refused, Failed, Retried };

inline constexpr model::NameTable<LossKind, 5> LossKindNames{
    {"served", "late", "refused", "failed", "retried"}};

/// What became of a request, and why if it was lost.
struct LossOutcome {
  LossKind m_Kind = LossKind::Served;
  std::string m_Reason; ///< Of a refusal, a failure or a retry.

  friend bool operator==(const LossOutcome &, const LossOutcome &) = default;
  friend bool operator<(const LossOutcome &Left, const LossOutcome &Right) {
    return std::tie(Left.m_Kind, Left.m_Reason) <
           std::tie(Right.m_Kind, Right.m_Reason);
  }
};

} // namespace knapweedloft::telemetry

#endif // KNAPWEEDLOFT_TELEMETRY_LOSSOUTCOME_H
