#ifndef KNAPWEEDLOFT_POLICY_OWNERRANKING_H
#define KNAPWEEDLOFT_POLICY_OWNERRANKING_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::policy {

/// Ranks \p Names for \p Subject by rendezvous hashing. The first is the owner
/// of the subject, the second its replica: when the owner leaves, the replica
/// ranks first, and no other subject changes its owner.
/// \returns at most \p Count indices into \p Names, highest rank first.
[[nodiscard]] std::vector<std::size_t>
rankOwners(std::string_view Subject, const std::vector<std::string> &Names,
           std::size_t Count);

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_OWNERRANKING_H
