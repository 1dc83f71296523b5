#ifndef KNAPWEEDLOFT_APP_SPREADWIRE_H
#define KNAPWEEDLOFT_APP_SPREADWIRE_H

#include "link/generated/link_generated.h"
#include "policy/FreshnessTracker.h"
#include "state/StoredRecord.h"

#include "absl/time/time.h"

#include <utility>
#include <vector>

namespace knapweedloft::app {

template <typename MessageT> link::wire::MessageUnion wrap(MessageT Message) {
  link::wire::MessageUnion Wrapped;
  Wrapped.Set(std::move(Message));
  return Wrapped;
}

/// \returns \p Stamp as it is sent at \p Now, in ages instead of times.
[[nodiscard]] link::wire::Stamp toWire(const policy::LogStamp &Stamp,
                                       absl::Time Now);

/// \returns the stamp of a message that was under way for \p Delay more than
/// the shortest way. Each hop makes a stamp older by a fixed allowance, which
/// is longer than the shortest way: a stamp never becomes younger by being
/// passed round.
[[nodiscard]] policy::LogStamp fromWire(const link::wire::Stamp &Stamp,
                                        absl::Duration Delay, absl::Time Now);

[[nodiscard]] std::vector<state::StoredRecord>
fromWire(const link::wire::RecordsT &Records);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SPREADWIRE_H
