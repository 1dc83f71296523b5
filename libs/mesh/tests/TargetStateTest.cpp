#include "mesh/TargetState.h"

#include "gtest/gtest.h"

namespace knapweedloft::mesh {
namespace {

using ReportResult = TargetState::ReportResult;

class TargetStateTest : public testing::Test {
protected:
  static TargetReport
  report(const std::string &Instance, std::uint64_t Sequence,
         std::int64_t StartTimeMs,
         TargetCondition Condition = TargetCondition::Ready) {
    return {.m_Instance = Instance,
            .m_Service = "orders",
            .m_At = {"10.0.0.1", 80},
            .m_Condition = Condition,
            .m_Slots = 10,
            .m_Sequence = Sequence,
            .m_StartTimeMs = StartTimeMs};
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  TargetState m_State{{.m_Service = "orders", .m_At = {"10.0.0.1", 80}}};
};

TEST_F(TargetStateTest, OnReport_FirstReady_Opens) {
  EXPECT_EQ(m_State.availability(), TargetAvailability::Unknown);
  EXPECT_EQ(m_State.onReport(report("a", 1, 100), m_Now),
            ReportResult::Accepted);
  EXPECT_TRUE(m_State.isOpen());
}

TEST_F(TargetStateTest, OnReport_OtherServiceOrAddress_IsForeign) {
  TargetReport Wrong = report("a", 1, 100);
  Wrong.m_Service = "archive";
  EXPECT_EQ(m_State.onReport(Wrong, m_Now), ReportResult::Foreign);
  Wrong = report("a", 1, 100);
  Wrong.m_At.m_Port = 81;
  EXPECT_EQ(m_State.onReport(Wrong, m_Now), ReportResult::Foreign);
  EXPECT_FALSE(m_State.isOpen());
}

TEST_F(TargetStateTest, OnReport_LateReadyAfterDraining_StaysClosed) {
  m_State.onReport(report("a", 1, 100), m_Now);
  m_State.onReport(report("a", 3, 100, TargetCondition::Draining), m_Now);
  EXPECT_EQ(m_State.onReport(report("a", 2, 100), m_Now),
            ReportResult::Outdated);
  EXPECT_EQ(m_State.availability(), TargetAvailability::Leaving);
  m_State.onReport(report("a", 4, 100), m_Now);
  EXPECT_EQ(m_State.availability(), TargetAvailability::Leaving);
}

TEST_F(TargetStateTest, OnReport_DelayedFromEarlierInstance_ChangesNothing) {
  m_State.onReport(report("b", 1, 200), m_Now);
  EXPECT_EQ(
      m_State.onReport(report("a", 9, 100, TargetCondition::Draining), m_Now),
      ReportResult::Outdated);
  EXPECT_EQ(m_State.instance(), "b");
  EXPECT_TRUE(m_State.isOpen());
}

TEST_F(TargetStateTest, OnReport_SameIdLaterStart_OpensAgain) {
  m_State.onReport(report("a", 7, 100, TargetCondition::Draining), m_Now);
  EXPECT_EQ(m_State.onReport(report("a", 1, 200), m_Now),
            ReportResult::Accepted);
  EXPECT_TRUE(m_State.isOpen());
}

TEST_F(TargetStateTest, OnReport_GoneWithoutDraining_Closes) {
  m_State.onReport(report("a", 1, 100), m_Now);
  m_State.onReport({.m_Instance = "a", .m_Condition = TargetCondition::Gone},
                   m_Now);
  EXPECT_EQ(m_State.availability(), TargetAvailability::Leaving);
}

TEST_F(TargetStateTest, OnReport_AfterARestart_OpensOnlyAfterACheck) {
  // The previous process may have acknowledged that the target leaves, and this
  // report may have been sent before that.
  TargetState State(
      {.m_Service = "orders", .m_At = {"10.0.0.1", 80}, .m_NeedsCheck = true});
  State.onReport(report("a", 4, 100), m_Now);
  EXPECT_FALSE(State.isOpen());
  EXPECT_TRUE(State.needsCheck());
  State.onHealthCheck("a", false, m_Now);
  EXPECT_FALSE(State.isOpen());
  State.onHealthCheck("a", true, m_Now);
  EXPECT_TRUE(State.isOpen());
}

TEST_F(TargetStateTest, OnUnexpectedInstance_Other_GetsNothingUntilChecked) {
  m_State.onReport(report("a", 1, 100), m_Now);
  m_State.onUnexpectedInstance("b");
  EXPECT_FALSE(m_State.isOpen());
  m_State.onHealthCheck("b", true, m_Now);
  EXPECT_TRUE(m_State.isOpen());
  EXPECT_EQ(m_State.instance(), "b");
}

TEST_F(TargetStateTest, SetWithdrawn_OverridesReports) {
  m_State.onReport(report("a", 1, 100), m_Now);
  m_State.setWithdrawn(true);
  m_State.onReport(report("a", 2, 100), m_Now);
  EXPECT_EQ(m_State.availability(), TargetAvailability::Withdrawn);
  m_State.setWithdrawn(false);
  EXPECT_TRUE(m_State.isOpen());
}

} // namespace
} // namespace knapweedloft::mesh
