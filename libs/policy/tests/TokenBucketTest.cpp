#include "policy/TokenBucket.h"

#include "policy/PolicyError.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class TokenBucketTest : public testing::Test {
protected:
  absl::Time m_Now = absl::UnixEpoch();
  TokenBucket m_Bucket{{.m_RatePerSecond = 10, .m_Burst = 5}, m_Now};
};

TEST_F(TokenBucketTest, TryTake_NewBucket_Refuses) {
  EXPECT_FALSE(m_Bucket.tryTake(1, m_Now));
}

TEST_F(TokenBucketTest, TryTake_ClockGoesBack_GrantsNothingTwice) {
  ASSERT_TRUE(m_Bucket.tryTake(5, m_Now + absl::Seconds(1)));
  EXPECT_FALSE(m_Bucket.tryTake(1, m_Now));
  EXPECT_FALSE(m_Bucket.tryTake(1, m_Now + absl::Seconds(1)));
}

TEST_F(TokenBucketTest, Reserve_FullBucket_HoldsBurstLessReserved) {
  m_Bucket.reserve(3, m_Now + absl::Seconds(1));
  EXPECT_DOUBLE_EQ(m_Bucket.level(m_Now + absl::Seconds(9)), 2);
}

TEST_F(TokenBucketTest, WaitFor_EmptyBucket_IsExact) {
  EXPECT_EQ(m_Bucket.waitFor(2, m_Now), absl::Milliseconds(200));
  EXPECT_EQ(m_Bucket.waitFor(6, m_Now), absl::InfiniteDuration());
}

TEST_F(TokenBucketTest, SetLimits_LowerBurst_DropsExcessTokens) {
  m_Bucket.setLimits({.m_RatePerSecond = 1, .m_Burst = 2},
                     m_Now + absl::Seconds(1));
  EXPECT_DOUBLE_EQ(m_Bucket.level(m_Now + absl::Seconds(1)), 2);
}

TEST_F(TokenBucketTest, Construct_BurstBelowOne_Throws) {
  EXPECT_THROW(TokenBucket({.m_RatePerSecond = 1, .m_Burst = 0.5}, m_Now),
               PolicyError);
}

} // namespace
} // namespace knapweedloft::policy
