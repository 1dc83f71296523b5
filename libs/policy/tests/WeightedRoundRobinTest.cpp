#include "policy/WeightedRoundRobin.h"
#include "policy/ColdStartPacer.h"

#include "gtest/gtest.h"

#include <array>
#include <vector>

namespace knapweedloft::policy {
namespace {

TEST(WeightedRoundRobinTest, Next_Any100Consecutive_AreSplitByWeight) {
  constexpr std::array<double, 2> Weights{90, 10};
  WeightedRoundRobin RoundRobin(Weights, 0.3);
  std::vector<std::size_t> Chosen;
  Chosen.reserve(1000);
  for (int Index = 0; Index < 1000; ++Index)
    Chosen.push_back(RoundRobin.next());
  for (std::size_t Start = 0; Start + 100 <= Chosen.size(); ++Start) {
    int SecondCount = 0;
    for (std::size_t Index = Start; Index < Start + 100; ++Index)
      SecondCount += Chosen[Index] == 1 ? 1 : 0;
    ASSERT_NEAR(SecondCount, 10, 1);
  }
}

TEST(WeightedRoundRobinTest, Next_WeightNotPositive_IsNeverChosen) {
  constexpr std::array<double, 3> Weights{0, 1, -1};
  WeightedRoundRobin RoundRobin(Weights);
  for (int Index = 0; Index < 50; ++Index)
    EXPECT_EQ(RoundRobin.next(), 1U);
}

TEST(ColdStartPacerTest, NextStart_LimitReached_IsOneSecondAfterTheOldest) {
  absl::Time Now = absl::FromUnixSeconds(1000);
  ColdStartPacer Pacer;
  Pacer.setCold(Now + absl::Seconds(5), 2);
  ASSERT_TRUE(Pacer.tryStart(Now));
  ASSERT_TRUE(Pacer.tryStart(Now + absl::Milliseconds(500)));
  EXPECT_FALSE(Pacer.tryStart(Now + absl::Milliseconds(900)));
  EXPECT_EQ(Pacer.nextStart(Now + absl::Milliseconds(900)),
            Now + absl::Seconds(1));
}

TEST(ColdStartPacerTest, NextStart_HalfOfTheLimitReached_IsHalfASecondLater) {
  absl::Time Now = absl::FromUnixSeconds(1000);
  ColdStartPacer Pacer;
  Pacer.setCold(Now + absl::Seconds(5), 2);
  ASSERT_TRUE(Pacer.tryStart(Now));
  EXPECT_FALSE(Pacer.tryStart(Now + absl::Milliseconds(300)));
  EXPECT_EQ(Pacer.nextStart(Now + absl::Milliseconds(300)),
            Now + absl::Milliseconds(500));
}

// Starts of a second that arrive late, up to half a second, and those of the
// next must not make more than half as much again in one second.
TEST(ColdStartPacerTest, TryStart_OneAndAHalfSeconds_AtMostHalfAsMuchAgain) {
  absl::Time Begin = absl::FromUnixSeconds(1000);
  ColdStartPacer Pacer;
  Pacer.setCold(Begin + absl::Seconds(60), 45);
  std::vector<absl::Time> Starts;
  for (absl::Time Now = Begin; Now < Begin + absl::Seconds(10);
       Now += absl::Milliseconds(7))
    while (Pacer.tryStart(Now))
      Starts.push_back(Now);
  EXPECT_GE(Starts.size(), 430U) << "the rate is used";
  for (std::size_t First = 0; First + 69 < Starts.size(); ++First)
    ASSERT_GE(Starts[First + 69] - Starts[First], absl::Milliseconds(1500));
}

TEST(ColdStartPacerTest, TryStart_NotCold_IsNotLimited) {
  absl::Time Now = absl::FromUnixSeconds(1000);
  ColdStartPacer Pacer;
  for (int Index = 0; Index < 1000; ++Index)
    ASSERT_TRUE(Pacer.tryStart(Now));
  // Earlier starts count once the target is marked cold.
  Pacer.setCold(Now + absl::Seconds(5), 50);
  EXPECT_FALSE(Pacer.tryStart(Now + absl::Milliseconds(500)));
}

} // namespace
} // namespace knapweedloft::policy
