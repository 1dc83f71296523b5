#include "policy/MemoryBudget.h"
#include "policy/HeldBytes.h"

#include "gtest/gtest.h"

#include <utility>

namespace knapweedloft::policy {
namespace {

TEST(MemoryBudgetTest, Set_SeveralHolders_SumIsCompared) {
  MemoryBudget Budget(10);
  HeldBytes First(&Budget);
  HeldBytes Second(&Budget);
  First.set(6);
  Second.set(4);
  EXPECT_EQ(Budget.heldBytes(), 10U);
  EXPECT_FALSE(Budget.isOver());
  Second.set(5);
  EXPECT_TRUE(Budget.isOver());
  First.set(1);
  EXPECT_EQ(Budget.heldBytes(), 6U);
}

TEST(MemoryBudgetTest, HeldBytes_OutOfScope_IsGivenBack) {
  MemoryBudget Budget(10);
  {
    HeldBytes Share(&Budget);
    Share.set(7);
  }
  EXPECT_EQ(Budget.heldBytes(), 0U);
}

TEST(MemoryBudgetTest, HeldBytes_Moved_IsCountedOnce) {
  MemoryBudget Budget(10);
  HeldBytes First(&Budget);
  First.set(7);
  HeldBytes Second = std::move(First);
  EXPECT_EQ(Budget.heldBytes(), 7U);
  HeldBytes Third(&Budget);
  Third.set(2);
  Third = std::move(Second);
  EXPECT_EQ(Budget.heldBytes(), 7U);
  Third.set(0);
  EXPECT_EQ(Budget.heldBytes(), 0U);
}

TEST(MemoryBudgetTest, HeldBytes_NoBudget_CountsForItself) {
  HeldBytes Share;
  Share.set(7);
  EXPECT_EQ(Share.get(), 7U);
}

} // namespace
} // namespace knapweedloft::policy
