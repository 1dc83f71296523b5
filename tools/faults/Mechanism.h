#ifndef KNAPWEEDLOFT_FAULTS_MECHANISM_H
#define KNAPWEEDLOFT_FAULTS_MECHANISM_H

#include "model/NameTable.h"

#include <bitset>
#include <cstdint>

namespace knapweedloft::faults {

/// What can be switched off to show what it is worth.
enum class Mechanism : std::uint8_t {
  Limit,
  FairQueue,
  Priorities,
  Shedding,
  EarlyRefusal,
  DownstreamGuard,
  Ramp,
  Deadlines,
  RetryBudget,
  FromBelow,
  Feedback,
  Ejection,
  Locality,
  Rates,
};

inline constexpr std::size_t MechanismCount = 14;

inline constexpr model::NameTable<Mechanism, MechanismCount> MechanismNames{
    {"limit", "fair-queue", "priorities", "shedding", "early-refusal",
     "downstream-guard", "ramp", "deadlines", "retry-budget", "from-below",
     "feedback", "ejection", "locality", "rates"}};

/// The mechanisms in use.
class Mechanisms {
public:
  Mechanisms() { m_Bits.set(); }
  [[nodiscard]] bool has(Mechanism One) const {
    return m_Bits.test(static_cast<std::size_t>(One));
  }
  void remove(Mechanism One) { m_Bits.reset(static_cast<std::size_t>(One)); }
  void removeAll() { m_Bits.reset(); }

private:
  std::bitset<MechanismCount> m_Bits;
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_MECHANISM_H
