#include "policy/TargetChooser.h"

#include "gtest/gtest.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace knapweedloft::policy {
namespace {

/// Targets 1 and 2 are in the own data center "a", 3 in "b", 4 in "c".
class TargetChooserLeavingTest : public testing::Test {
protected:
  void SetUp() override {
    m_Targets = {info(1, "a"), info(2, "a"), info(3, "b"), info(4, "c")};
    m_Chooser.setTargets(m_Targets, m_Now);
  }

  static TargetInfo info(model::Incarnation Target,
                         const std::string &DataCenter) {
    return {Target, "t" + std::to_string(Target), "north", DataCenter, false};
  }

  TargetHandle handle(model::Incarnation Target) {
    return *m_Chooser.find(Target);
  }

  /// Requests of each target for some seconds, with 100 slots each. \returns
  /// where the requests of the last one went.
  std::map<model::Incarnation, int>
  play(const std::map<model::Incarnation, std::uint32_t> &Requests,
       ChoiceContext Context = {}) {
    std::map<model::Incarnation, int> Counts;
    for (int Round = 0; Round < 100; ++Round) {
      m_Now += absl::Milliseconds(50);
      for (auto [Target, Count] : Requests)
        m_Chooser.onLoad(handle(Target),
                         {.m_Limit = 100,
                          .m_InFlight = std::min(Count, 100U),
                          .m_Queued = Count - std::min(Count, 100U),
                          .m_Latency = absl::Milliseconds(200),
                          .m_IsRamping = m_Ramping == Target},
                         m_Now);
      for (int Draw = 0; Draw < 10; ++Draw) {
        auto Chosen = m_Chooser.choose(Context, m_Random, m_Now);
        if (Chosen && Round >= 80)
          ++Counts[m_Chooser.info(*Chosen).m_Incarnation];
      }
    }
    return Counts;
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  std::vector<TargetInfo> m_Targets;
  model::Incarnation m_Ramping = 0;
  TargetChooser m_Chooser{{.m_Region = "north",
                           .m_DataCenter = "a",
                           .m_Spill = DataCenterSpill::Options{}}};
};

TEST_F(TargetChooserLeavingTest, Choose_OneOfTwoFull_NothingLeaves) {
  auto Counts = play({{1, 130}, {2, 60}, {3, 0}, {4, 0}});
  EXPECT_EQ(Counts[3] + Counts[4], 0);
}

TEST_F(TargetChooserLeavingTest, Choose_OwnAreFull_LeavesToWhereRoomIs) {
  auto Counts = play({{1, 400}, {2, 400}, {3, 20}, {4, 98}});
  EXPECT_GT(Counts[3], 100);
  EXPECT_LT(Counts[4], Counts[3] / 4);
  EXPECT_EQ(m_Chooser.leaving()->m_Share, 1);
}

TEST_F(TargetChooserLeavingTest, Choose_HasCrossed_Stays) {
  auto Counts =
      play({{1, 400}, {2, 400}, {3, 20}, {4, 20}}, {.m_HasCrossed = true});
  EXPECT_EQ(Counts[1] + Counts[2], 200);
}

TEST_F(TargetChooserLeavingTest, Choose_HasCrossedAndOwnWithdrawn_Leaves) {
  for (TargetInfo &Info : m_Targets)
    Info.m_IsWithdrawn = Info.m_DataCenter == "a";
  m_Chooser.setTargets(m_Targets, m_Now);
  auto Counts = play({{3, 20}, {4, 20}}, {.m_HasCrossed = true});
  EXPECT_EQ(Counts[3] + Counts[4], 200);
}

TEST_F(TargetChooserLeavingTest, Choose_OthersWithdrawn_Stays) {
  for (TargetInfo &Info : m_Targets)
    Info.m_IsWithdrawn = Info.m_DataCenter != "a";
  m_Chooser.setTargets(m_Targets, m_Now);
  auto Counts = play({{1, 400}, {2, 400}});
  EXPECT_EQ(Counts[1] + Counts[2], 200);
}

TEST_F(TargetChooserLeavingTest, Choose_OtherIsCold_CountsNoFreeSlotThere) {
  m_Ramping = 3;
  auto Counts = play({{1, 400}, {2, 400}, {3, 2}, {4, 50}});
  EXPECT_GT(Counts[4], 150);
}

TEST_F(TargetChooserLeavingTest, Choose_OthersSilent_Stays) {
  play({{1, 400}, {2, 400}, {3, 20}, {4, 20}});
  m_Now += absl::Seconds(5);
  auto Counts = play({{1, 400}, {2, 400}});
  EXPECT_EQ(m_Chooser.leaving()->m_Share, 0);
  EXPECT_EQ(Counts[1] + Counts[2], 200);
}

TEST_F(TargetChooserLeavingTest, Choose_WayIsSlow_StaysUntilItIsMeasuredAgain) {
  auto Transfer = [&](absl::Duration Way) {
    for (int Count = 0; Count < 200; ++Count)
      for (model::Incarnation Target : {3, 4})
        m_Chooser.onTransfer(handle(Target), Way, 2000, m_Now);
  };
  Transfer(absl::Seconds(3));
  auto Counts = play({{1, 400}, {2, 400}, {3, 20}, {4, 20}});
  EXPECT_EQ(Counts[1] + Counts[2], 200);
  Transfer(absl::Milliseconds(2));
  Counts = play({{1, 400}, {2, 400}, {3, 20}, {4, 20}});
  EXPECT_EQ(Counts[1] + Counts[2], 0);
}

TEST_F(TargetChooserLeavingTest, Leaving_NoSpill_IsNothing) {
  TargetChooser Fixed({.m_Region = "north", .m_DataCenter = "a"});
  EXPECT_FALSE(Fixed.leaving());
}

} // namespace
} // namespace knapweedloft::policy
