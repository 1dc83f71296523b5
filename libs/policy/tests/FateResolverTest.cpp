#include "policy/FateResolver.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class FateResolverTest : public testing::Test {
protected:
  absl::Time m_Now = absl::UnixEpoch();
  absl::Time m_Deadline = m_Now + absl::Seconds(10);
  FateResolver m_Resolver{{.m_LinkWait = absl::Seconds(3),
                           .m_QueryInterval = absl::Milliseconds(500)},
                          m_Deadline,
                          m_Now};
};

TEST_F(FateResolverTest, Next_NoLink_RequestsLinkUntilTimeoutThenUnknown) {
  EXPECT_EQ(m_Resolver.next(false, m_Now), FateStep::OpenLink);
  EXPECT_EQ(m_Resolver.next(false, m_Now), FateStep::Wait);
  EXPECT_EQ(m_Resolver.wakeAt(), m_Now + absl::Milliseconds(100));
  EXPECT_EQ(m_Resolver.next(false, m_Resolver.wakeAt()), FateStep::OpenLink);
  EXPECT_EQ(m_Resolver.next(false, m_Now + absl::Seconds(3)),
            FateStep::Unknown);
}

TEST_F(FateResolverTest, Next_LinkUp_QueriesAndRetries) {
  EXPECT_EQ(m_Resolver.next(true, m_Now), FateStep::Ask);
  EXPECT_EQ(m_Resolver.next(true, m_Now), FateStep::Wait);
  EXPECT_EQ(m_Resolver.next(true, m_Resolver.wakeAt()), FateStep::Ask);
}

TEST_F(FateResolverTest, Next_NotRunReported_IsNotRun) {
  (void)m_Resolver.next(true, m_Now);
  m_Resolver.onFate(ForwardFate::NotRun);
  EXPECT_EQ(m_Resolver.next(true, m_Now), FateStep::NotRun);
}

TEST_F(FateResolverTest, Next_Running_WaitsUntilTheDeadline) {
  (void)m_Resolver.next(true, m_Now);
  m_Resolver.onFate(ForwardFate::Running);
  EXPECT_EQ(m_Resolver.next(true, m_Now), FateStep::Wait);
  EXPECT_EQ(m_Resolver.wakeAt(), m_Deadline);
  EXPECT_EQ(m_Resolver.next(true, m_Deadline), FateStep::Unknown);
}

TEST_F(FateResolverTest, Next_RunningAndLinkDownAgain_QueriesAgain) {
  (void)m_Resolver.next(true, m_Now);
  m_Resolver.onFate(ForwardFate::Running);
  m_Resolver.onLinkDown(m_Now);
  EXPECT_EQ(m_Resolver.next(false, m_Now), FateStep::OpenLink);
  EXPECT_EQ(m_Resolver.next(true, m_Now), FateStep::Ask);
}

TEST_F(FateResolverTest, Next_DaemonReplaced_IsUnknownNotNotRun) {
  m_Resolver.onReplaced();
  EXPECT_EQ(m_Resolver.next(true, m_Now), FateStep::Unknown);
}

} // namespace
} // namespace knapweedloft::policy
