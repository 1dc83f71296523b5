#ifndef KNAPWEEDLOFT_INFORCE_H
#define KNAPWEEDLOFT_INFORCE_H

#include "ApiClient.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft {

/// Shows how a revision comes into force, a line for each step on stderr, until
/// every daemon applies it or \p Deadline has passed.
///
/// \p StatusPath is that of a resource's status, or of "/v1/status?revision=N".
/// \returns whether it is in force everywhere.
bool awaitInForce(ApiClient &Client, const std::string &StatusPath,
                  absl::Time Deadline);

/// \returns the path of the status of any revision.
[[nodiscard]] std::string statusPathOf(std::uint64_t Revision);

/// \returns "applied by 3 of 6, behind: a-1 a-2".
[[nodiscard]] std::string describeStatus(const nlohmann::json &Status);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_INFORCE_H
