#include "policy/RouteCounts.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

TEST(RouteCountsTest, BucketOf_BoundOfEachBucket_LiesInItAndAboveInTheNext) {
  for (std::size_t Bucket = 0; Bucket + 1 < RouteCounts::BucketCount;
       ++Bucket) {
    absl::Duration Bound = RouteCounts::upperBoundOf(Bucket);
    EXPECT_EQ(RouteCounts::bucketOf(Bound), Bucket);
    EXPECT_EQ(RouteCounts::bucketOf(Bound * 1.01), Bucket + 1);
  }
}

TEST(RouteCountsTest, BucketOf_Doubled_IsTwoBucketsHigher) {
  EXPECT_EQ(RouteCounts::bucketOf(absl::Milliseconds(100)) + 2,
            RouteCounts::bucketOf(absl::Milliseconds(200)));
}

TEST(RouteCountsTest, BucketOf_Extremes_AreInTheFirstAndTheLast) {
  EXPECT_EQ(RouteCounts::bucketOf(-absl::Seconds(1)), 0);
  EXPECT_EQ(RouteCounts::bucketOf(absl::ZeroDuration()), 0);
  EXPECT_EQ(RouteCounts::bucketOf(absl::Milliseconds(1)), 0);
  EXPECT_EQ(RouteCounts::bucketOf(absl::Hours(1)),
            RouteCounts::BucketCount - 1);
  EXPECT_EQ(RouteCounts::bucketOf(absl::InfiniteDuration()),
            RouteCounts::BucketCount - 1);
  EXPECT_EQ(RouteCounts::upperBoundOf(RouteCounts::BucketCount - 1),
            absl::InfiniteDuration());
}

} // namespace
} // namespace knapweedloft::policy
