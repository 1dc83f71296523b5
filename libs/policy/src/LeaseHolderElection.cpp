#include "policy/LeaseHolderElection.h"

#include "policy/RateShard.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::policy {
namespace {

using WeightedName = std::pair<std::uint64_t, const std::string *>;

bool isBefore(const WeightedName &Left, const WeightedName &Right) {
  if (Left.first != Right.first)
    return Left.first > Right.first;
  return *Left.second < *Right.second;
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Name) {
  return stableHash(Name, stableHash(Subject));
}

std::vector<std::string>
electLeaseHolders(std::uint32_t Shard,
                  const std::vector<std::string> &Candidates,
                  std::size_t Count) {
  std::uint64_t Seed = stableHash("keeper", Shard + 1);
  std::vector<WeightedName> Weights;
  Weights.reserve(Candidates.size());
  for (const std::string &Name : Candidates)
    Weights.emplace_back(stableHash(Name, Seed), &Name);
  Count = std::min(Count, Weights.size());
  std::partial_sort(Weights.begin(), Weights.begin() + Count, Weights.end(),
                    isBefore);
  std::vector<std::string> Elected;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Elected.push_back(*Weights[Index].second);
  return Elected;
}

} // namespace knapweedloft::policy
