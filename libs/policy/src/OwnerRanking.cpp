#include "policy/OwnerRanking.h"

#include "policy/LeaseHolderElection.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace knapweedloft::policy {

std::vector<std::size_t> rankOwners(std::string_view Subject,
                                    const std::vector<std::string> &Names,
                                    std::size_t Count) {
  std::vector<std::uint64_t> Weights;
  Weights.reserve(Names.size());
  for (const std::string &Name : Names)
    Weights.push_back(rendezvousWeight(Subject, Name));
  std::vector<std::size_t> Ranks(Names.size());
  std::iota(Ranks.begin(), Ranks.end(), 0);
  Count = std::min(Count, Ranks.size());
  std::partial_sort(Ranks.begin(), Ranks.begin() + Count, Ranks.end(),
                    [&](std::size_t Left, std::size_t Right) {
                      if (Weights[Left] != Weights[Right])
                        return Weights[Left] > Weights[Right];
                      return Names[Left] < Names[Right];
                    });
  Ranks.resize(Count);
  return Ranks;
}

} // namespace knapweedloft::policy
