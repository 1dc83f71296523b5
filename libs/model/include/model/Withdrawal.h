#ifndef KNAPWEEDLOFT_MODEL_WITHDRAWAL_H
#define KNAPWEEDLOFT_MODEL_WITHDRAWAL_H

#include "model/NameTable.h"

#include <cstdint>
#include <string>

namespace knapweedloft::model {

enum class WithdrawalScope : std::uint8_t { DataCenter, Target };

inline constexpr NameTable<WithdrawalScope, 2> WithdrawalScopeNames{
    {"data-center", "target"}};

/// Takes a data centre or a single target out of service while it exists.
struct Withdrawal {
  std::string m_Name; ///< 1 to 64 of [a-z0-9-].
  WithdrawalScope m_Scope = WithdrawalScope::DataCenter;
  std::string m_Subject; ///< Name of the data centre, or of the daemon.

  friend bool operator==(const Withdrawal &, const Withdrawal &) = default;
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_WITHDRAWAL_H
