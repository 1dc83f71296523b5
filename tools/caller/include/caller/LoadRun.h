#ifndef KNAPWEEDLOFT_CALLER_LOADRUN_H
#define KNAPWEEDLOFT_CALLER_LOADRUN_H

#include "caller/LoadPlan.h"
#include "caller/LoadReport.h"

namespace knapweedloft::caller {

/// Sends the calls of \p Plan at its rates with exponential gaps, waits for
/// the last answer and returns what came back.
[[nodiscard]] LoadReport runLoad(const LoadPlan &Plan);

} // namespace knapweedloft::caller

#endif // KNAPWEEDLOFT_CALLER_LOADRUN_H
