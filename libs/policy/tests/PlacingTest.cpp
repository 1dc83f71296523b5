#include "PlacingModel.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweedloft::policy {
namespace {

using Totals = PlacingModel::Totals;

constexpr absl::Duration WarmUp = absl::Seconds(5);

/// Three of four seconds' worth of work of the targets of PlacingModel.
constexpr double HighRate = 2400;
/// More than they can do.
constexpr double TooHighRate = 3400;

Totals play(PlacingModel::Options Settings, absl::Duration For) {
  PlacingModel Model(std::move(Settings));
  Model.run(WarmUp);
  return Model.run(For);
}

double share(int Part, const Totals &Of) {
  return static_cast<double>(Part) / std::max(1, Of.m_Sent);
}

// Load pattern: steady, three quarters of what uneven targets can do.
TEST(PlacingTest, Run_UnevenTargets_CompleteSoonerThanByFullness) {
  PlacingModel::Options Settings{.m_PerSecond = HighRate};
  Totals Placed = play(Settings, absl::Seconds(10));
  Settings.m_NamesPace = false;
  Totals ByFullness = play(Settings, absl::Seconds(10));
  EXPECT_LT(Placed.mean(), 0.9 * ByFullness.mean());
  EXPECT_LE(Placed.m_HandedBack, ByFullness.m_HandedBack);
  EXPECT_EQ(Placed.m_Refused, 0);
}

// Load pattern: a burst of 1.4 times the capacity for 4 s.
TEST(PlacingTest, Run_Burst_ServesNoLessAndRefusesNoneBesideFreeSlots) {
  PlacingModel::Options Settings{.m_PerSecond = TooHighRate};
  Totals Placed = play(Settings, absl::Seconds(4));
  Settings.m_NamesPace = false;
  Totals ByFullness = play(Settings, absl::Seconds(4));
  EXPECT_GE(share(Placed.m_InTime, Placed),
            share(ByFullness.m_InTime, ByFullness));
  EXPECT_EQ(Placed.m_RefusedBesideFreeSlots, 0);
}

// Load pattern: light load, two fast ones among six targets.
TEST(PlacingTest, Run_LightLoad_FastTargetsGetMost) {
  Totals Placed = play({.m_PerSecond = 800}, absl::Seconds(5));
  EXPECT_GT(Placed.m_Starts[2] + Placed.m_Starts[5], 0.6 * Placed.m_Sent);
  for (int Starts : Placed.m_Starts)
    EXPECT_GT(Starts, 0.02 * Placed.m_Sent / 6) << "its latency stays known";
}

// Load pattern: waves of 0.55 about three quarters of the capacity.
TEST(PlacingTest, Run_Waves_FewerLate) {
  auto Play = [](bool NamesPace) {
    PlacingModel Model({.m_PerSecond = 1900,
                        .m_Aim = absl::Milliseconds(600),
                        .m_NamesPace = NamesPace});
    Model.run(WarmUp);
    int Late = 0;
    for (int Step = 0; Step < 17; ++Step) {
      Model.setDemand(1 + 0.55 * std::sin(Step * 0.74));
      Totals Part = Model.run(absl::Milliseconds(500));
      Late += Part.m_Late + Part.m_Refused;
    }
    return Late;
  };
  EXPECT_LT(Play(true), 0.9 * Play(false));
}

// Load pattern: half of the callers move, so that half of the entry sides send
// everything.
TEST(PlacingTest, Run_HalfOfTheCallersMove_CompletesAsSoon) {
  PlacingModel Model({.m_PerSecond = HighRate});
  Model.run(WarmUp);
  Totals Before = Model.run(absl::Seconds(4));
  Model.setEntriesInUse(0.5);
  Totals After = Model.run(absl::Seconds(4));
  EXPECT_LT(After.mean(), 1.1 * Before.mean());
  EXPECT_EQ(After.m_Refused, 0);
}

// Load pattern: targets with little room to spare turn slow in turn.
TEST(PlacingTest, Run_QueuedAtATargetThatTurnsSlow_IsPlacedAgainInTime) {
  Totals Placed = play({.m_Slots = 12,
                        .m_PerSecond = 290,
                        .m_Aim = absl::Milliseconds(700),
                        .m_SlowFactor = 5},
                       absl::Seconds(20));
  EXPECT_GT(Placed.m_HandedBack, 20);
  EXPECT_LT(Placed.m_Refused, Placed.m_HandedBack / 2);
}

/// The parameter is the number of entry sides.
class PlacingSpreadTest : public ::testing::TestWithParam<std::size_t> {};

// Guards against entry sides that all send to the target with the best news.
TEST_P(PlacingSpreadTest, Run_EqualTargets_SpreadStaysWithinHalfOfTheMean) {
  constexpr std::size_t Targets = 10;
  constexpr double PerSecond = 1200;
  Totals Placed = play({.m_Entries = GetParam(),
                        .m_Speeds = std::vector<double>(Targets, 1.0),
                        .m_Slots = 30,
                        .m_PerSecond = PerSecond,
                        .m_SlowShare = 0},
                       absl::Seconds(10));
  double Mean = static_cast<double>(Placed.m_Sent) / Targets;
  for (int Starts : Placed.m_Starts) {
    EXPECT_GT(Starts, 0.5 * Mean);
    EXPECT_LT(Starts, 1.5 * Mean);
  }
  // In any 100 ms twice its share, and chance.
  double Twice = 2 * PerSecond / Targets * 0.1;
  EXPECT_LT(Placed.m_MostStarts, Twice + 4 * std::sqrt(Twice));
}

INSTANTIATE_TEST_SUITE_P(EntrySides, PlacingSpreadTest,
                         ::testing::Values(3, 63, 300));

} // namespace
} // namespace knapweedloft::policy
