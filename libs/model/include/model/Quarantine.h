#ifndef KNAPWEEDLOFT_MODEL_QUARANTINE_H
#define KNAPWEEDLOFT_MODEL_QUARANTINE_H

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::model {

/// Identifies requests that are the same in customer, method, path, query and
/// body, whatever daemon they come through.
using Fingerprint = std::uint64_t;

/// Puts requests with a fingerprint aside after they were in flight at several
/// deaths of targets.
struct Quarantine {
  std::string m_Name; ///< The fingerprint as 16 hexadecimal digits.
  Fingerprint m_Fingerprint = 0;
  std::string m_Reason; ///< For operators, 256 bytes at most.
  absl::Time m_Expires; ///< Requests are let through again from here on.

  friend bool operator==(const Quarantine &, const Quarantine &) = default;
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_QUARANTINE_H
