#ifndef KNAPWEEDLOFT_POLICY_TARGETSUBSET_H
#define KNAPWEEDLOFT_POLICY_TARGETSUBSET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace knapweedloft::policy {

/// Tiers by distance: same data center, same region, elsewhere.
inline constexpr std::size_t TierCount = 3;

/// A target that may become part of the subset.
struct SubsetCandidate {
  std::uint32_t m_Index = 0; ///< Of the target; returned if chosen.
  std::size_t m_Tier = 0;
  /// Spreads evenly over the daemons; the lowest are taken.
  std::uint64_t m_Hash = 0;
};

using TargetTiers = std::array<std::vector<std::uint32_t>, TierCount>;

/// Chooses at most \p Size targets, most of them near and some from each more
/// remote tier for spill-over. With rendezvous hashing a change of one target
/// changes one member of the subset.
[[nodiscard]] TargetTiers chooseSubset(std::vector<SubsetCandidate> Candidates,
                                       std::size_t Size);

/// \returns the hash of \p Target for the daemon with \p Seed.
[[nodiscard]] std::uint64_t rendezvousHash(std::uint64_t Seed,
                                           std::uint64_t Target);

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETSUBSET_H
