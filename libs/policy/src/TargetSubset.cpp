#include "TargetSubset.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// Share of the subset by tier; what a tier cannot fill goes to the others.
constexpr std::array<double, TierCount> TierShares = {0.6, 0.25, 0.15};

} // namespace

TargetTiers chooseSubset(std::vector<SubsetCandidate> Candidates,
                         std::size_t Size) {
  std::sort(Candidates.begin(), Candidates.end(),
            [](const SubsetCandidate &Left, const SubsetCandidate &Right) {
              if (Left.m_Hash != Right.m_Hash)
                return Left.m_Hash < Right.m_Hash;
              return Left.m_Index < Right.m_Index;
            });
  TargetTiers Tiers;
  std::size_t Taken = 0;
  auto Take = [&](std::size_t Tier, std::size_t MaxSize) {
    for (const SubsetCandidate &Candidate : Candidates) {
      std::vector<std::uint32_t> &Chosen = Tiers[Tier];
      if (Taken >= Size || Chosen.size() >= MaxSize)
        return;
      if (Candidate.m_Tier != Tier ||
          std::find(Chosen.begin(), Chosen.end(), Candidate.m_Index) !=
              Chosen.end())
        continue;
      Chosen.push_back(Candidate.m_Index);
      ++Taken;
    }
  };
  for (std::size_t Tier = 0; Tier < TierCount; ++Tier)
    Take(Tier, static_cast<std::size_t>(static_cast<double>(Size) *
                                        TierShares[Tier]));
  for (std::size_t Tier = 0; Tier < TierCount; ++Tier)
    Take(Tier, Size);
  return Tiers;
}

std::uint64_t rendezvousHash(std::uint64_t Seed, std::uint64_t Target) {
  // The finalizer of SplitMix64 (Steele et al., OOPSLA 2014).
  std::uint64_t Hash = Seed ^ (Target + 0x9e3779b97f4a7c15ULL);
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111ebULL;
  return Hash ^ (Hash >> 31);
}

} // namespace knapweedloft::policy
