#ifndef KNAPWEEDLOFT_FAKEFLEET_FAKELOG_H
#define KNAPWEEDLOFT_FAKEFLEET_FAKELOG_H

#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::fakefleet {

/// The log of a fake fleet.
struct FakeLog {
  std::vector<std::string> m_Records;
  bool m_IsUnavailable = false;
  absl::Duration m_Latency = absl::Milliseconds(5); ///< Of each call.
};

} // namespace knapweedloft::fakefleet

#endif // KNAPWEEDLOFT_FAKEFLEET_FAKELOG_H
