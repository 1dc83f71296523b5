#include "policy/FreshnessJudge.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class FreshnessJudgeTest : public testing::Test {
protected:
  static absl::Time at(double Seconds) {
    return absl::UnixEpoch() + absl::Seconds(Seconds);
  }

  static LogStamp read(model::LogOffset End, double Seconds) {
    return {.m_End = End, .m_At = at(Seconds)};
  }

  static LogStamp away(double Seconds, bool IsSplit) {
    return {.m_At = at(Seconds), .m_IsAway = true, .m_IsSplit = IsSplit};
  }

  FreshnessJudge m_Judge{{.m_Bound = absl::Seconds(5)}};
};

TEST_F(FreshnessJudgeTest, Judge_NoStampYet_IsIsolated) {
  EXPECT_EQ(m_Judge.judge(at(0)), Freshness::Isolated);
}

TEST_F(FreshnessJudgeTest, Judge_SilencePastBound_IsIsolated) {
  m_Judge.onStamp(read(4, 0), 4);
  EXPECT_EQ(m_Judge.judge(at(4.9)), Freshness::Fresh);
  EXPECT_EQ(m_Judge.judge(at(5)), Freshness::Isolated);
}

TEST_F(FreshnessJudgeTest, Judge_StampAheadOfState_CountsOnceApplied) {
  m_Judge.onStamp(read(9, 1), 4);
  EXPECT_EQ(m_Judge.judge(at(1)), Freshness::Isolated);
  m_Judge.onApplied(9);
  EXPECT_EQ(m_Judge.judge(at(1)), Freshness::Fresh);
}

TEST_F(FreshnessJudgeTest, Judge_RecordsKeepComing_StaysFresh) {
  for (int Step = 1; Step < 100; ++Step) {
    m_Judge.onStamp(read(Step, Step), Step - 1);
    m_Judge.onStamp(read(Step + 1, Step + 0.5), Step - 1);
    m_Judge.onApplied(Step);
    EXPECT_EQ(m_Judge.judge(at(Step + 1)), Freshness::Fresh);
  }
}

TEST_F(FreshnessJudgeTest, Judge_AwayForAll_IsTrustedAndKeeps) {
  m_Judge.onStamp(away(10, false), 4);
  EXPECT_EQ(m_Judge.judge(at(11)), Freshness::LogAway);
  EXPECT_TRUE(m_Judge.isTrusted(at(11)));
  EXPECT_TRUE(m_Judge.mayKeep(at(11)));
}

TEST_F(FreshnessJudgeTest, Judge_AwayButOthersReadAhead_IsIsolated) {
  m_Judge.onStamp(read(9, 10), 4);
  m_Judge.onStamp(away(10, false), 4);
  EXPECT_EQ(m_Judge.judge(at(11)), Freshness::Isolated);
  EXPECT_FALSE(m_Judge.mayKeep(at(11)));
}

TEST_F(FreshnessJudgeTest, Judge_AwayHereOnly_IsNeitherTrustedNorKeeps) {
  m_Judge.onStamp(away(10, true), 4);
  EXPECT_EQ(m_Judge.judge(at(11)), Freshness::Split);
  EXPECT_FALSE(m_Judge.isTrusted(at(11)));
  EXPECT_FALSE(m_Judge.mayKeep(at(11)));
}

TEST_F(FreshnessJudgeTest, MayKeep_SplitIsServedBySetting_StillStops) {
  FreshnessJudge Judge({.m_ServesSplit = true});
  Judge.onStamp(away(10, true), 4);
  EXPECT_TRUE(Judge.isTrusted(at(11)));
  EXPECT_FALSE(Judge.mayKeep(at(11)));
}

TEST_F(FreshnessJudgeTest, Newest_AwayAfterOldRead_PassesAwayOn) {
  m_Judge.onStamp(read(4, 1), 4);
  m_Judge.onStamp(away(2, false), 4);
  EXPECT_FALSE(m_Judge.newest().m_IsAway);
  m_Judge.onStamp(away(4, false), 4);
  EXPECT_TRUE(m_Judge.newest().m_IsAway);
}

} // namespace
} // namespace knapweedloft::policy
