#include "policy/FreshnessTracker.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class FreshnessTrackerTest : public testing::Test {
protected:
  static absl::Time at(double Seconds) {
    return absl::UnixEpoch() + absl::Seconds(Seconds);
  }

  static LogStamp read(model::LogOffset End, double Seconds) {
    return {.m_End = End, .m_At = at(Seconds)};
  }

  static LogStamp unavailable(double Seconds, bool IsPartitioned) {
    return {.m_At = at(Seconds),
            .m_IsUnavailable = true,
            .m_IsPartitioned = IsPartitioned};
  }

  FreshnessTracker m_Tracker{{.m_Bound = absl::Seconds(5)}};
};

TEST_F(FreshnessTrackerTest, FreshnessAt_NoStampYet_IsIsolated) {
  EXPECT_EQ(m_Tracker.freshnessAt(at(0)), Freshness::Isolated);
}

TEST_F(FreshnessTrackerTest, FreshnessAt_NoStampWithinBound_IsIsolated) {
  m_Tracker.onStamp(read(4, 0), 4);
  EXPECT_EQ(m_Tracker.freshnessAt(at(4.9)), Freshness::Fresh);
  EXPECT_EQ(m_Tracker.freshnessAt(at(5)), Freshness::Isolated);
}

TEST_F(FreshnessTrackerTest, FreshnessAt_StampAheadOfState_CountsOnceApplied) {
  m_Tracker.onStamp(read(9, 1), 4);
  EXPECT_EQ(m_Tracker.freshnessAt(at(1)), Freshness::Isolated);
  m_Tracker.onApplied(9);
  EXPECT_EQ(m_Tracker.freshnessAt(at(1)), Freshness::Fresh);
}

TEST_F(FreshnessTrackerTest, FreshnessAt_SteadyRecords_StaysFresh) {
  for (int Step = 1; Step < 100; ++Step) {
    m_Tracker.onStamp(read(Step, Step), Step - 1);
    m_Tracker.onStamp(read(Step + 1, Step + 0.5), Step - 1);
    m_Tracker.onApplied(Step);
    EXPECT_EQ(m_Tracker.freshnessAt(at(Step + 1)), Freshness::Fresh);
  }
}

TEST_F(FreshnessTrackerTest,
       FreshnessAt_LogUnavailableToAll_IsTrustedAndMayHoldLease) {
  m_Tracker.onStamp(unavailable(10, false), 4);
  EXPECT_EQ(m_Tracker.freshnessAt(at(11)), Freshness::LogUnavailable);
  EXPECT_TRUE(m_Tracker.isTrusted(at(11)));
  EXPECT_TRUE(m_Tracker.mayHoldLease(at(11)));
}

TEST_F(FreshnessTrackerTest,
       FreshnessAt_LogUnavailableButOthersReadIt_IsIsolated) {
  m_Tracker.onStamp(read(9, 10), 4);
  m_Tracker.onStamp(unavailable(10, false), 4);
  EXPECT_EQ(m_Tracker.freshnessAt(at(11)), Freshness::Isolated);
  EXPECT_FALSE(m_Tracker.mayHoldLease(at(11)));
}

TEST_F(FreshnessTrackerTest,
       FreshnessAt_Partitioned_IsNeitherTrustedNorMayHoldLease) {
  m_Tracker.onStamp(unavailable(10, true), 4);
  EXPECT_EQ(m_Tracker.freshnessAt(at(11)), Freshness::Partitioned);
  EXPECT_FALSE(m_Tracker.isTrusted(at(11)));
  EXPECT_FALSE(m_Tracker.mayHoldLease(at(11)));
}

TEST_F(FreshnessTrackerTest, MayHoldLease_PartitionedIsServed_ReturnsFalse) {
  FreshnessTracker Tracker({.m_ServesPartitioned = true});
  Tracker.onStamp(unavailable(10, true), 4);
  EXPECT_TRUE(Tracker.isTrusted(at(11)));
  EXPECT_FALSE(Tracker.mayHoldLease(at(11)));
}

TEST_F(FreshnessTrackerTest, Newest_OutageAfterOldRead_ReturnsOutage) {
  m_Tracker.onStamp(read(4, 1), 4);
  m_Tracker.onStamp(unavailable(2, false), 4);
  EXPECT_FALSE(m_Tracker.newest().m_IsUnavailable);
  m_Tracker.onStamp(unavailable(4, false), 4);
  EXPECT_TRUE(m_Tracker.newest().m_IsUnavailable);
}

} // namespace
} // namespace knapweedloft::policy
