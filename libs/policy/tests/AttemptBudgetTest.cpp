#include "policy/AttemptBudget.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

TEST(AttemptBudgetTest, TakeForwardShare_AlongCallChain_SumStaysWithinBudget) {
  std::uint16_t Share = AttemptBudget::PerRequest;
  int Total = 0;
  for (int Hop = 0; Hop < 30; ++Hop) {
    AttemptBudget Left(Share);
    Share = Left.takeForwardShare();
    Total += Left.left();
  }
  EXPECT_EQ(Total, AttemptBudget::PerRequest);
}

TEST(AttemptBudgetTest, TryTake_NothingLeft_Refuses) {
  AttemptBudget Left(1);
  EXPECT_TRUE(Left.tryTake());
  EXPECT_FALSE(Left.tryTake());
  Left.refund(1);
  EXPECT_TRUE(Left.tryTake());
}

} // namespace
} // namespace knapweedloft::policy
