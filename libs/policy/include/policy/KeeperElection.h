#ifndef KNAPWEEDLOFT_POLICY_KEEPERELECTION_H
#define KNAPWEEDLOFT_POLICY_KEEPERELECTION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::policy {

/// \returns the weight of \p Name for \p Subject: of all candidates the one
/// with the highest weight is elected (highest random weight; Thaler and
/// Ravishankar, 1998). It changes only with that candidate.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view Subject,
                                             std::string_view Name);

/// \returns who of \p Candidates should claim \p Shard: the first choice and
/// after it up to \p Count - 1 others, in order. A later one claims only if
/// those before it do not.
[[nodiscard]] std::vector<std::string>
electKeepers(std::uint32_t Shard, const std::vector<std::string> &Candidates,
             std::size_t Count);

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_KEEPERELECTION_H
