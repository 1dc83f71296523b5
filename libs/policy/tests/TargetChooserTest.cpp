#include "policy/TargetChooser.h"

#include "policy/PolicyError.h"

#include "gtest/gtest.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace knapweedloft::policy {
namespace {

class TargetChooserTest : public testing::Test {
protected:
  void SetUp() override { m_Chooser.setTargets(m_Targets, m_Now); }

  TargetHandle handle(model::Incarnation Target) {
    return *m_Chooser.find(Target);
  }

  void report(model::Incarnation Target, float Limit, std::uint32_t InFlight) {
    m_Chooser.onLoad(handle(Target), {.m_Limit = Limit, .m_InFlight = InFlight},
                     m_Now);
  }

  model::Incarnation choose(std::vector<TargetHandle> Excluded = {}) {
    auto Target = m_Chooser.choose({Excluded}, m_Random, m_Now);
    return Target ? m_Chooser.info(*Target).m_Incarnation : 0;
  }

  std::map<model::Incarnation, int> chooseMany(int Count) {
    std::map<model::Incarnation, int> Counts;
    for (int Index = 0; Index < Count; ++Index)
      ++Counts[choose()];
    return Counts;
  }

  void answer(model::Incarnation Target, bool IsSuccess, int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      m_Chooser.onSent(handle(Target), m_Now);
      m_Chooser.onAnswer(handle(Target), {.m_Limit = 100}, IsSuccess,
                         absl::Milliseconds(1), m_Now);
    }
  }

  static TargetInfo info(model::Incarnation Target, std::string DataCenter,
                         std::string Region = "north") {
    return {Target, "t" + std::to_string(Target), std::move(Region),
            std::move(DataCenter), false};
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  std::vector<TargetInfo> m_Targets = {info(1, "a"), info(2, "a"), info(3, "b"),
                                       info(4, "c", "south")};
  TargetChooser m_Chooser{{.m_Region = "north", .m_DataCenter = "a"}};
};

TEST_F(TargetChooserTest, Choose_NoTargets_IsNothing) {
  m_Chooser.setTargets({}, m_Now);
  EXPECT_EQ(choose(), 0U);
}

TEST_F(TargetChooserTest, Info_UnknownHandle_Throws) {
  EXPECT_THROW((void)m_Chooser.info(TargetHandle{99}), PolicyError);
}

TEST_F(TargetChooserTest, Choose_NearNotLoaded_StaysNear) {
  for (model::Incarnation Target : {1, 2, 3, 4})
    report(Target, 100, 50);
  auto Counts = chooseMany(200);
  EXPECT_EQ(Counts[1] + Counts[2], 200);
}

TEST_F(TargetChooserTest, Choose_NearLoaded_SpillsToNextTier) {
  report(1, 100, 150);
  report(2, 100, 150);
  report(3, 100, 20);
  report(4, 100, 0);
  EXPECT_EQ(chooseMany(100)[3], 100);
}

TEST_F(TargetChooserTest, Choose_AllLoaded_TakesNearUnlessRemoteIsMuchLess) {
  for (model::Incarnation Target : {1, 2})
    report(Target, 100, 150);
  for (model::Incarnation Target : {3, 4})
    report(Target, 100, 145);
  auto Counts = chooseMany(100);
  EXPECT_EQ(Counts[3] + Counts[4], 0);
}

TEST_F(TargetChooserTest, Choose_TwoNear_TakesLessLoaded) {
  report(1, 100, 80);
  report(2, 300, 90);
  EXPECT_EQ(chooseMany(50)[2], 50);
}

TEST_F(TargetChooserTest, Choose_OldLoad_CountsLess) {
  report(1, 100, 80);
  m_Now += absl::Seconds(5);
  report(2, 100, 20);
  EXPECT_GT(chooseMany(50)[1], 40);
}

TEST_F(TargetChooserTest, Choose_OwnRequestsSinceLoad_Count) {
  report(1, 10, 4);
  report(2, 10, 6);
  for (int Sent = 0; Sent < 4; ++Sent)
    m_Chooser.onSent(handle(1), m_Now);
  EXPECT_EQ(chooseMany(50)[2], 50);
}

TEST_F(TargetChooserTest, Choose_Excluded_IsNotChosen) {
  EXPECT_EQ(choose({handle(1), handle(2), handle(4)}), 3U);
  EXPECT_EQ(choose({handle(1), handle(2), handle(3), handle(4)}), 0U);
}

TEST_F(TargetChooserTest, Choose_Withdrawn_GetsNothing) {
  m_Targets[0].m_IsWithdrawn = true;
  m_Chooser.setTargets(m_Targets, m_Now);
  EXPECT_EQ(chooseMany(100)[1], 0);
}

TEST_F(TargetChooserTest, Choose_TargetFailsFast_IsEjected) {
  answer(2, true, 20);
  answer(1, false, 20);
  for (model::Incarnation Target : {2, 3, 4})
    report(Target, 100, 300);
  EXPECT_EQ(chooseMany(100)[1], 0);
}

TEST_F(TargetChooserTest,
       Choose_EjectedTargetRecovers_IsReadmittedAfterTrials) {
  answer(1, false, 20);
  m_Now += absl::Seconds(2);
  EXPECT_GT(chooseMany(100)[1], 0);
  m_Chooser.onSent(handle(1), m_Now);
  EXPECT_EQ(chooseMany(100)[1], 0) << "only one trial request at a time";
  m_Chooser.onAnswer(handle(1), {.m_Limit = 100}, true, absl::Milliseconds(1),
                     m_Now);
  answer(1, true, 2);
  m_Chooser.onSent(handle(1), m_Now);
  report(2, 100, 20);
  EXPECT_GT(chooseMany(100)[1], 0);
}

TEST_F(TargetChooserTest, Choose_FailedFor20Seconds_IsTriedOneSecondLater) {
  answer(1, false, 20);
  for (int Second = 0; Second < 20; ++Second) {
    m_Now += absl::Seconds(1);
    if (chooseMany(100)[1] > 0)
      answer(1, false, 1);
  }
  EXPECT_EQ(chooseMany(100)[1], 0);
  m_Now += absl::Seconds(1);
  EXPECT_GT(chooseMany(100)[1], 0);
}

TEST_F(TargetChooserTest, Choose_EveryTargetFails_NoneIsEjected) {
  for (int Round = 0; Round < 50; ++Round)
    for (model::Incarnation Target : {1, 2, 3, 4})
      answer(Target, false, 1);
  EXPECT_EQ(chooseMany(400).count(0), 0U);
  EXPECT_GT(chooseMany(400)[1], 0);
}

TEST_F(TargetChooserTest, SetTargets_KnownIncarnation_KeepsStatistics) {
  report(1, 100, 80);
  report(2, 100, 10);
  m_Targets.push_back(info(5, "b"));
  m_Chooser.setTargets(m_Targets, m_Now);
  EXPECT_EQ(chooseMany(50)[2], 50);
}

TEST_F(TargetChooserTest, SetTargets_ManyTargets_SubsetsAreBoundedAndDiffer) {
  std::vector<TargetInfo> Many;
  for (model::Incarnation Target = 1; Target <= 300; ++Target)
    Many.push_back(info(Target, Target % 3 == 0 ? "a" : "b"));
  std::map<model::Incarnation, int> Used;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    TargetChooser Chooser({.m_Region = "north",
                           .m_DataCenter = "a",
                           .m_Seed = Seed,
                           .m_SubsetSize = 20});
    Chooser.setTargets(Many, m_Now);
    ASSERT_EQ(Chooser.subset().size(), 20U);
    for (TargetHandle Target : Chooser.subset())
      ++Used[Chooser.info(Target).m_Incarnation];
  }
  EXPECT_GT(Used.size(), 290U);
}

TEST_F(TargetChooserTest, ShedLevel_ColdTargetShedsAll_IsWeightedByItsLimit) {
  m_Chooser.onLoad(handle(1), {.m_Limit = 2, .m_ShedLevel = 4}, m_Now);
  m_Chooser.onLoad(handle(2), {.m_Limit = 198, .m_ShedLevel = 0}, m_Now);
  EXPECT_NEAR(m_Chooser.shedLevel(m_Now), 0.04, 0.001);
}

} // namespace
} // namespace knapweedloft::policy
