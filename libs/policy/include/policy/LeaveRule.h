#ifndef KNAPWEEDLOFT_POLICY_LEAVERULE_H
#define KNAPWEEDLOFT_POLICY_LEAVERULE_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::policy {

/// How it is decided which requests leave the data center that they came in.
enum class LeaveRule : std::uint8_t {
  Fixed, ///< By a load score and a penalty, the same for all services.
  Auto   ///< By what callers gain, less the price of the bytes.
};

inline constexpr model::NameTable<LeaveRule, 2> LeaveRuleNames{
    {"fixed", "auto"}};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_LEAVERULE_H
