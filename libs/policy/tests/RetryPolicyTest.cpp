#include "policy/RetryPolicy.h"

#include "absl/random/random.h"
#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class RetryPolicyTest : public testing::Test {
protected:
  static RetryPolicy withTokens(int Retries) {
    RetryPolicy Policy({});
    for (int Count = 0; Count < Retries * 10 + 1; ++Count)
      Policy.onFirstAttempt(false);
    return Policy;
  }

  RetryDecision decide(RetryPolicy &Policy) {
    return Policy.decide(m_Failure, m_Random, m_Now);
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  RetryContext m_Failure{.m_Reason = model::RefusalReason::Overloaded,
                         .m_Ran = model::Ran::No,
                         .m_AttemptsLeft = 2,
                         .m_Deadline = m_Now + absl::Seconds(5)};
};

TEST_F(RetryPolicyTest, Decide_RefusedAndNotRun_Retries) {
  RetryPolicy Policy = withTokens(1);
  EXPECT_TRUE(decide(Policy).m_IsRetry);
}

TEST_F(RetryPolicyTest, Decide_MayHaveRunAndNotIdempotent_Stops) {
  RetryPolicy Policy = withTokens(1);
  m_Failure.m_Reason = model::RefusalReason::OutcomeUnknown;
  m_Failure.m_Ran = model::Ran::Unknown;
  EXPECT_FALSE(decide(Policy).m_IsRetry);
  m_Failure.m_IsIdempotent = true;
  EXPECT_TRUE(decide(Policy).m_IsRetry);
}

TEST_F(RetryPolicyTest, Decide_DownstreamFailure_StopsAndIsFinal) {
  RetryPolicy Policy = withTokens(1);
  m_Failure.m_IsDownstreamFailure = true;
  RetryDecision Next = decide(Policy);
  EXPECT_FALSE(Next.m_IsRetry);
  EXPECT_TRUE(Next.m_IsFinal);
}

TEST_F(RetryPolicyTest, Decide_RetryOfUpstreamHop_Stops) {
  RetryPolicy Policy = withTokens(1);
  m_Failure.m_IsResend = true;
  EXPECT_FALSE(decide(Policy).m_IsRetry);
}

TEST_F(RetryPolicyTest, Decide_EdgeBudgetSpent_Stops) {
  RetryPolicy Policy = withTokens(1);
  EXPECT_TRUE(decide(Policy).m_IsRetry);
  EXPECT_FALSE(decide(Policy).m_IsRetry);
}

TEST_F(RetryPolicyTest, Decide_NoAttemptsLeft_Stops) {
  RetryPolicy Policy = withTokens(1);
  m_Failure.m_AttemptsLeft = 0;
  EXPECT_FALSE(decide(Policy).m_IsRetry);
}

TEST_F(RetryPolicyTest, Decide_DeadlineTooNear_Stops) {
  RetryPolicy Policy = withTokens(1);
  m_Failure.m_ExpectedLatency = absl::Seconds(6);
  EXPECT_FALSE(decide(Policy).m_IsRetry);
}

TEST_F(RetryPolicyTest, Decide_RefusalAppliesToAllTargets_Stops) {
  RetryPolicy Policy = withTokens(1);
  m_Failure.m_Reason = model::RefusalReason::OverRate;
  EXPECT_FALSE(decide(Policy).m_IsRetry);
}

TEST_F(RetryPolicyTest, TryResend_ResendsOnly_AddNothingToBudget) {
  RetryPolicy Policy({});
  for (int Count = 0; Count < 100; ++Count)
    Policy.onFirstAttempt(true);
  EXPECT_FALSE(Policy.tryResend());
}

} // namespace
} // namespace knapweedloft::policy
