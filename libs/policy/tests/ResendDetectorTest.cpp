#include "policy/ResendDetector.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

TEST(ResendDetectorTest, Observe_SameCallAgain_IsResend) {
  ResendDetector Calls;
  EXPECT_FALSE(Calls.observe(7));
  EXPECT_FALSE(Calls.observe(8));
  EXPECT_TRUE(Calls.observe(7));
}

TEST(ResendDetectorTest, Observe_MoreCallsThanCapacity_ForgetsOldestOnly) {
  ResendDetector Calls;
  for (std::uint64_t Call = 1; Call <= ResendDetector::Capacity + 1; ++Call)
    EXPECT_FALSE(Calls.observe(Call));
  EXPECT_TRUE(Calls.observe(2));
  EXPECT_FALSE(Calls.observe(1));
}

} // namespace
} // namespace knapweedloft::policy
