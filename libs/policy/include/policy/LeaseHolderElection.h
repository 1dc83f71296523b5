#ifndef KNAPWEEDLOFT_POLICY_LEASEHOLDERELECTION_H
#define KNAPWEEDLOFT_POLICY_LEASEHOLDERELECTION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::policy {

/// \returns the weight of \p Name for \p Subject in rendezvous hashing (highest
/// random weight; Thaler and Ravishankar, 1998): the candidate with the highest
/// weight is elected. The winner changes only when it leaves or a candidate of
/// higher weight joins.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view Subject,
                                             std::string_view Name);

/// \returns which of \p Candidates should claim the lease of \p Shard: the
/// first choice, then up to \p Count - 1 substitutes in order. A substitute
/// claims only if those before it do not.
[[nodiscard]] std::vector<std::string>
electLeaseHolders(std::uint32_t Shard,
                  const std::vector<std::string> &Candidates,
                  std::size_t Count);

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_LEASEHOLDERELECTION_H
