#include "policy/AttemptBudget.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

TEST(AttemptBudgetTest, HandOver_DownAChain_SumStaysWithinTheBudget) {
  std::uint16_t Share = AttemptBudget::OfRequest;
  int Kept = 0;
  for (int Hop = 0; Hop < 30; ++Hop) {
    AttemptBudget Left(Share);
    Share = Left.handOver();
    Kept += Left.left();
  }
  EXPECT_EQ(Kept, AttemptBudget::OfRequest);
}

TEST(AttemptBudgetTest, TryTake_NothingLeft_Refuses) {
  AttemptBudget Left(1);
  EXPECT_TRUE(Left.tryTake());
  EXPECT_FALSE(Left.tryTake());
  Left.giveBack(1);
  EXPECT_TRUE(Left.tryTake());
}

} // namespace
} // namespace knapweedloft::policy
