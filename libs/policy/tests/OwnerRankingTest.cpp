#include "policy/OwnerRanking.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class OwnerRankingTest : public testing::Test {};

TEST_F(OwnerRankingTest, RankOwners_OwnerLeaves_ReplicaBecomesOwner) {
  const std::vector<std::string> Names = {"a", "b", "c", "d", "e"};
  for (int Key = 0; Key < 100; ++Key) {
    std::string Subject = std::to_string(Key);
    auto Ranks = rankOwners(Subject, Names, 2);
    ASSERT_EQ(Ranks.size(), 2U);
    std::vector<std::string> Remaining = Names;
    Remaining.erase(Remaining.begin() + static_cast<std::ptrdiff_t>(Ranks[0]));
    EXPECT_EQ(Remaining[rankOwners(Subject, Remaining, 1).at(0)],
              Names[Ranks[1]]);
  }
}

TEST_F(OwnerRankingTest, RankOwners_FewerNamesThanCount_ReturnsAll) {
  EXPECT_EQ(rankOwners("k", {"a"}, 2).size(), 1U);
  EXPECT_TRUE(rankOwners("k", {}, 2).empty());
}

} // namespace
} // namespace knapweedloft::policy
