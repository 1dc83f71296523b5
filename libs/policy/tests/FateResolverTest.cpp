#include "policy/FateResolver.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class FateResolverTest : public testing::Test {
protected:
  absl::Time m_Now = absl::UnixEpoch();
  absl::Time m_Deadline = m_Now + absl::Seconds(10);
  FateResolver m_Fate{
      {.m_LinkWait = absl::Seconds(3), .m_AskAgain = absl::Milliseconds(500)},
      m_Deadline,
      m_Now};
};

TEST_F(FateResolverTest, Next_NoLink_OpensOneAgainAndAgainThenGivesUp) {
  EXPECT_EQ(m_Fate.next(false, m_Now), FateStep::OpenLink);
  EXPECT_EQ(m_Fate.next(false, m_Now), FateStep::Wait);
  EXPECT_EQ(m_Fate.wakeAt(), m_Now + absl::Milliseconds(100));
  EXPECT_EQ(m_Fate.next(false, m_Fate.wakeAt()), FateStep::OpenLink);
  EXPECT_EQ(m_Fate.next(false, m_Now + absl::Seconds(3)), FateStep::Unknown);
}

TEST_F(FateResolverTest, Next_LinkUp_AsksAndAsksAgain) {
  EXPECT_EQ(m_Fate.next(true, m_Now), FateStep::Ask);
  EXPECT_EQ(m_Fate.next(true, m_Now), FateStep::Wait);
  EXPECT_EQ(m_Fate.next(true, m_Fate.wakeAt()), FateStep::Ask);
}

TEST_F(FateResolverTest, Next_NotRun_IsProof) {
  (void)m_Fate.next(true, m_Now);
  m_Fate.onFate(ForwardFate::NotRun);
  EXPECT_EQ(m_Fate.next(true, m_Now), FateStep::NotRun);
}

TEST_F(FateResolverTest, Next_Running_WaitsToTheDeadline) {
  (void)m_Fate.next(true, m_Now);
  m_Fate.onFate(ForwardFate::Running);
  EXPECT_EQ(m_Fate.next(true, m_Now), FateStep::Wait);
  EXPECT_EQ(m_Fate.wakeAt(), m_Deadline);
  EXPECT_EQ(m_Fate.next(true, m_Deadline), FateStep::Unknown);
}

TEST_F(FateResolverTest, Next_RunningAndLinkLostAgain_AsksAgain) {
  (void)m_Fate.next(true, m_Now);
  m_Fate.onFate(ForwardFate::Running);
  m_Fate.onLinkDown(m_Now);
  EXPECT_EQ(m_Fate.next(false, m_Now), FateStep::OpenLink);
  EXPECT_EQ(m_Fate.next(true, m_Now), FateStep::Ask);
}

TEST_F(FateResolverTest, Next_DaemonReplaced_IsUnknownNotNotRun) {
  m_Fate.onReplaced();
  EXPECT_EQ(m_Fate.next(true, m_Now), FateStep::Unknown);
}

} // namespace
} // namespace knapweedloft::policy
