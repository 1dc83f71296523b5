#ifndef KNAPWEEDLOFT_POLICY_TARGETSUBSET_H
#define KNAPWEEDLOFT_POLICY_TARGETSUBSET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace knapweedloft::policy {

/// How far a target is: same data center, same region, elsewhere.
inline constexpr std::size_t TierCount = 3;

/// A target that may become part of the subset.
struct SubsetCandidate {
  std::uint32_t m_Index = 0; ///< Of the target, for the result.
  std::size_t m_Tier = 0;
  std::uint64_t m_Hash = 0; ///< Even over daemons; the least are taken.
};

using TargetTiers = std::array<std::vector<std::uint32_t>, TierCount>;

/// Takes at most \p Size targets, most of them near, some from each further
/// tier to spill over to. Rendezvous hashing: a change of one target changes
/// one place.
[[nodiscard]] TargetTiers chooseSubset(std::vector<SubsetCandidate> Candidates,
                                       std::size_t Size);

/// \returns a hash of a target for one daemon.
[[nodiscard]] std::uint64_t rendezvousHash(std::uint64_t Seed,
                                           std::uint64_t Target);

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETSUBSET_H
