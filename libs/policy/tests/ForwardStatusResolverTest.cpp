#include "policy/ForwardStatusResolver.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class ForwardStatusResolverTest : public testing::Test {
protected:
  absl::Time m_Now = absl::UnixEpoch();
  absl::Time m_Deadline = m_Now + absl::Seconds(10);
  ForwardStatusResolver m_Resolver{{.m_LinkWait = absl::Seconds(3),
                                    .m_QueryInterval = absl::Milliseconds(500)},
                                   m_Deadline,
                                   m_Now};
};

TEST_F(ForwardStatusResolverTest,
       Next_NoLink_RequestsLinkUntilTimeoutThenUnknown) {
  EXPECT_EQ(m_Resolver.next(false, m_Now), ResolverStep::OpenLink);
  EXPECT_EQ(m_Resolver.next(false, m_Now), ResolverStep::Wait);
  EXPECT_EQ(m_Resolver.wakeAt(), m_Now + absl::Milliseconds(100));
  EXPECT_EQ(m_Resolver.next(false, m_Resolver.wakeAt()),
            ResolverStep::OpenLink);
  EXPECT_EQ(m_Resolver.next(false, m_Now + absl::Seconds(3)),
            ResolverStep::Unknown);
}

TEST_F(ForwardStatusResolverTest, Next_LinkUp_QueriesAndRetries) {
  EXPECT_EQ(m_Resolver.next(true, m_Now), ResolverStep::Ask);
  EXPECT_EQ(m_Resolver.next(true, m_Now), ResolverStep::Wait);
  EXPECT_EQ(m_Resolver.next(true, m_Resolver.wakeAt()), ResolverStep::Ask);
}

TEST_F(ForwardStatusResolverTest, Next_NotRunReported_IsNotRun) {
  (void)m_Resolver.next(true, m_Now);
  m_Resolver.onStatus(ForwardStatus::NotRun);
  EXPECT_EQ(m_Resolver.next(true, m_Now), ResolverStep::NotRun);
}

TEST_F(ForwardStatusResolverTest, Next_Running_WaitsUntilTheDeadline) {
  (void)m_Resolver.next(true, m_Now);
  m_Resolver.onStatus(ForwardStatus::Running);
  EXPECT_EQ(m_Resolver.next(true, m_Now), ResolverStep::Wait);
  EXPECT_EQ(m_Resolver.wakeAt(), m_Deadline);
  EXPECT_EQ(m_Resolver.next(true, m_Deadline), ResolverStep::Unknown);
}

TEST_F(ForwardStatusResolverTest, Next_RunningAndLinkDownAgain_QueriesAgain) {
  (void)m_Resolver.next(true, m_Now);
  m_Resolver.onStatus(ForwardStatus::Running);
  m_Resolver.onLinkDown(m_Now);
  EXPECT_EQ(m_Resolver.next(false, m_Now), ResolverStep::OpenLink);
  EXPECT_EQ(m_Resolver.next(true, m_Now), ResolverStep::Ask);
}

TEST_F(ForwardStatusResolverTest, Next_DaemonReplaced_IsUnknownNotNotRun) {
  m_Resolver.onReplaced();
  EXPECT_EQ(m_Resolver.next(true, m_Now), ResolverStep::Unknown);
}

} // namespace
} // namespace knapweedloft::policy
