#ifndef KNAPWEEDLOFT_FLEET_RATEFIGURES_H
#define KNAPWEEDLOFT_FLEET_RATEFIGURES_H

#include "Figures.h"

#include <cstdint>

namespace knapweedloft::fleet {

/// Wrongful refusals and overshoot of one customer on ten daemons in virtual
/// time: fixed equal shares, one keeper asked for each call, and allotments
/// that follow demand, under skewed and moving demand, overload and the death
/// of the keeper.
void measureRates(std::uint64_t Seed, Figures &Out);

} // namespace knapweedloft::fleet

#endif // KNAPWEEDLOFT_FLEET_RATEFIGURES_H
