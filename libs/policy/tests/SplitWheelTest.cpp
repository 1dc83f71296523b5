#include "policy/SplitWheel.h"
#include "policy/ColdPacer.h"

#include "gtest/gtest.h"

#include <array>
#include <vector>

namespace knapweedloft::policy {
namespace {

TEST(SplitWheelTest, Next_EveryRunOfAHundred_IsSplitByWeight) {
  constexpr std::array<double, 2> Weights{90, 10};
  SplitWheel Wheel(Weights, 0.3);
  std::vector<std::size_t> Parts;
  Parts.reserve(1000);
  for (int Index = 0; Index < 1000; ++Index)
    Parts.push_back(Wheel.next());
  for (std::size_t From = 0; From + 100 <= Parts.size(); ++From) {
    int Second = 0;
    for (std::size_t At = From; At < From + 100; ++At)
      Second += Parts[At] == 1 ? 1 : 0;
    ASSERT_NEAR(Second, 10, 1);
  }
}

TEST(SplitWheelTest, Next_WeightOfNothing_GetsNothing) {
  constexpr std::array<double, 3> Weights{0, 1, -1};
  SplitWheel Wheel(Weights);
  for (int Index = 0; Index < 50; ++Index)
    EXPECT_EQ(Wheel.next(), 1U);
}

TEST(ColdPacerTest, NextStart_BoundReached_TellsWhenTheOldestIsASecondAgo) {
  absl::Time Now = absl::FromUnixSeconds(1000);
  ColdPacer Pacer;
  Pacer.setCold(Now + absl::Seconds(5), 2);
  ASSERT_TRUE(Pacer.tryStart(Now));
  ASSERT_TRUE(Pacer.tryStart(Now + absl::Milliseconds(300)));
  EXPECT_FALSE(Pacer.tryStart(Now + absl::Milliseconds(900)));
  EXPECT_EQ(Pacer.nextStart(Now + absl::Milliseconds(900)),
            Now + absl::Seconds(1));
}

TEST(ColdPacerTest, TryStart_NotCold_IsNotBound) {
  absl::Time Now = absl::FromUnixSeconds(1000);
  ColdPacer Pacer;
  for (int Index = 0; Index < 1000; ++Index)
    ASSERT_TRUE(Pacer.tryStart(Now));
  // What was started before counts once the target turns out cold.
  Pacer.setCold(Now + absl::Seconds(5), 50);
  EXPECT_FALSE(Pacer.tryStart(Now + absl::Milliseconds(500)));
}

} // namespace
} // namespace knapweedloft::policy
