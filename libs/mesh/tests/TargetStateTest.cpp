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

TEST_F(TargetStateTest, OnUnexpectedInstance_Other_NeedsCheckAndReport) {
  m_State.onReport(report("a", 1, 100), m_Now);
  m_State.onUnexpectedInstance("b");
  EXPECT_FALSE(m_State.isOpen());
  m_State.onHealthCheck("b", true, m_Now);
  EXPECT_FALSE(m_State.isOpen()) << "its service is not known";
  m_State.onReport(report("b", 1, 200), m_Now);
  EXPECT_TRUE(m_State.isOpen());
  EXPECT_EQ(m_State.instance(), "b");
}

// Guards against requests that are run by a target of another service, to which
// the address of their target went.
TEST_F(TargetStateTest, OnHealthCheck_OtherInstance_ClosedUntilItReports) {
  m_State.onReport(report("a", 1, 100), m_Now);
  m_State.onConnectionRefused(m_Now);
  m_State.onHealthCheck("b", true, m_Now);
  EXPECT_EQ(m_State.availability(), TargetAvailability::Unconfirmed);
  TargetReport Foreign = report("b", 1, 200);
  Foreign.m_Service = "archive";
  EXPECT_EQ(m_State.onReport(Foreign, m_Now), ReportResult::Foreign);
  m_State.onHealthCheck("b", true, m_Now);
  EXPECT_FALSE(m_State.isOpen());
  m_State.onReport(report("c", 1, 300), m_Now); // The address came back.
  EXPECT_TRUE(m_State.isOpen());
  Foreign.m_Sequence = 2;
  m_State.onReport(Foreign, m_Now); // Late.
  EXPECT_TRUE(m_State.isOpen());
  EXPECT_EQ(m_State.instance(), "c");
}

TEST_F(TargetStateTest, OnReport_PresentInstanceOfOtherService_Closes) {
  m_State.onReport(report("a", 3, 100), m_Now);
  TargetReport Foreign = report("a", 4, 100);
  Foreign.m_Service = "archive";
  m_State.onReport(Foreign, m_Now);
  EXPECT_EQ(m_State.availability(), TargetAvailability::Unconfirmed);
  m_State.onReport(report("a", 2, 100), m_Now); // Late.
  EXPECT_FALSE(m_State.isOpen());
  m_State.onReport(report("a", 5, 100), m_Now);
  EXPECT_TRUE(m_State.isOpen());
}

TEST_F(TargetStateTest, OnHealthCheck_InstanceThatReportedBefore_Opens) {
  m_State.onReport(report("a", 1, 100), m_Now);
  m_State.onReport(report("b", 1, 200), m_Now);
  m_State.onUnexpectedInstance("a");
  m_State.onHealthCheck("b", true, m_Now);
  EXPECT_TRUE(m_State.isOpen());
  EXPECT_EQ(m_State.instance(), "b");
}

// Guards against a sound target that is closed, or a leaving that is forgotten,
// by the number of other instances that are heard of.
TEST_F(TargetStateTest, OnReport_ManyOtherInstances_PresentIsKept) {
  m_State.onReport(report("present", 1, 1000), m_Now);
  for (int Index = 0; Index < 100; ++Index) {
    std::string Other = "other-" + std::to_string(Index);
    m_State.onReport(report(Other, 1, 100), m_Now);
    m_State.onReport(
        {.m_Instance = Other, .m_Condition = TargetCondition::Gone}, m_Now);
  }
  EXPECT_TRUE(m_State.isOpen());
  m_State.onReport(
      {.m_Instance = "present", .m_Condition = TargetCondition::Gone}, m_Now);
  for (int Index = 0; Index < 100; ++Index)
    m_State.onReport({.m_Instance = "later-" + std::to_string(Index),
                      .m_Condition = TargetCondition::Gone},
                     m_Now);
  m_State.onReport(report("present", 2, 1000), m_Now);
  EXPECT_EQ(m_State.availability(), TargetAvailability::Leaving);
}

TEST_F(TargetStateTest, SetWithdrawn_OverridesReports) {
  m_State.onReport(report("a", 1, 100), m_Now);
  m_State.setWithdrawn(true);
  m_State.onReport(report("a", 2, 100), m_Now);
  EXPECT_EQ(m_State.availability(), TargetAvailability::Withdrawn);
  m_State.setWithdrawn(false);
  EXPECT_TRUE(m_State.isOpen());
}

/// The state of a process that was started again beside a running target.
class TargetStateRestartTest : public TargetStateTest {
protected:
  /// Unix times in milliseconds: of the target's start, of the process's, of
  /// the arrival of reports, and of a later start.
  static constexpr std::int64_t Born = 1'000;
  static constexpr std::int64_t ProcessStart = 50'000;
  static constexpr std::int64_t Arrival = 60'000;
  static constexpr std::int64_t BornLater = 65'000;

  static TargetReport
  arrived(const std::string &Instance, std::uint64_t Sequence,
          std::int64_t StartTimeMs,
          TargetCondition Condition = TargetCondition::Ready) {
    TargetReport Report = report(Instance, Sequence, StartTimeMs, Condition);
    Report.m_ReceivedAt = absl::FromUnixMillis(Arrival);
    return Report;
  }

  static TargetReport gone(const std::string &Instance) {
    return {.m_Instance = Instance,
            .m_Condition = TargetCondition::Gone,
            .m_ReceivedAt = absl::FromUnixMillis(Arrival)};
  }

  /// The target has been open before the restart, which a peer remembers.
  TargetStateRestartTest() { m_Restarted.onRemembered("a"); }

  void check(const std::string &Instance, bool IsHealthy = true) {
    m_Restarted.onHealthCheck(Instance, IsHealthy, m_Now);
  }

  TargetState m_Restarted{
      {.m_Service = "orders",
       .m_At = {"10.0.0.1", 80},
       .m_NeedsCheck = true,
       .m_ProcessStart = absl::FromUnixMillis(ProcessStart)}};
};

// Guards against a late report that takes back an acknowledged leaving of an
// instance that only a health check had told before.
TEST_F(TargetStateRestartTest, OnReport_LateReadyAfterGone_StaysClosed) {
  check("a");
  ASSERT_TRUE(m_Restarted.isOpen());
  m_Restarted.onReport(gone("a"), m_Now);
  m_Restarted.onReport(arrived("a", 9, Born), m_Now);
  EXPECT_EQ(m_Restarted.availability(), TargetAvailability::Leaving);
  m_Restarted.onReport(arrived("a", 10, Born), m_Now);
  EXPECT_EQ(m_Restarted.availability(), TargetAvailability::Leaving);
}

TEST_F(TargetStateRestartTest, OnReport_LateReadyAfterDraining_StaysClosed) {
  check("a");
  TargetReport Draining = arrived("a", 4, 0, TargetCondition::Draining);
  m_Restarted.onReport(Draining, m_Now);
  m_Restarted.onReport(arrived("a", 3, Born), m_Now);
  EXPECT_EQ(m_Restarted.availability(), TargetAvailability::Leaving);
}

TEST_F(TargetStateRestartTest, OnReport_GoneBeforeAnyReport_IsRemembered) {
  m_Restarted.onReport(gone("a"), m_Now);
  check("a"); // Answered before the target said that it leaves.
  EXPECT_FALSE(m_Restarted.isOpen());
  m_Restarted.onReport(arrived("a", 9, Born), m_Now);
  EXPECT_FALSE(m_Restarted.isOpen());
}

TEST_F(TargetStateRestartTest, OnReport_GoneOfUnknownSuccessor_IsRemembered) {
  check("a");
  m_Restarted.onReport(gone("b"), m_Now);
  m_Restarted.onReport(arrived("b", 1, ProcessStart + 1), m_Now);
  EXPECT_FALSE(m_Restarted.isOpen() && m_Restarted.instance() == "b");
  m_Restarted.onUnexpectedInstance("b");
  check("b");
  EXPECT_EQ(m_Restarted.availability(), TargetAvailability::Leaving);
}

TEST_F(TargetStateRestartTest, OnLeaving_LateReadyAfterwards_StaysClosed) {
  check("a");
  m_Restarted.onLeaving(absl::FromUnixMillis(Arrival));
  m_Restarted.onReport(arrived("a", 9, Born), m_Now);
  EXPECT_EQ(m_Restarted.availability(), TargetAvailability::Leaving);
}

// Two late reports, of instances that may have left before the restart.
TEST_F(TargetStateRestartTest, OnReport_TwoInstancesFromBefore_NeedsCheck) {
  m_Restarted.onReport(arrived("a", 9, Born), m_Now);
  m_Restarted.onReport(arrived("b", 3, Born + 1), m_Now);
  EXPECT_FALSE(m_Restarted.isOpen());
  EXPECT_TRUE(m_Restarted.needsCheck());
  check("b");
  EXPECT_TRUE(m_Restarted.isOpen());
}

TEST_F(TargetStateRestartTest, OnReport_NewIdAfterLeaving_OpensAtOnce) {
  check("a");
  m_Restarted.onReport(gone("a"), m_Now);
  m_Restarted.onReport(arrived("b", 1, BornLater), m_Now);
  EXPECT_TRUE(m_Restarted.isOpen());
}

TEST_F(TargetStateRestartTest, OnReport_SameIdLaterStart_OpensAtOnce) {
  check("a");
  m_Restarted.onReport(gone("a"), m_Now);
  m_Restarted.onReport(arrived("a", 9, Born), m_Now);
  m_Restarted.onReport(arrived("a", 1, BornLater), m_Now);
  EXPECT_TRUE(m_Restarted.isOpen());
  // Also where no report of the former start came in between.
  m_Restarted.onReport(gone("a"), m_Now);
  EXPECT_FALSE(m_Restarted.isOpen());
}

TEST_F(TargetStateRestartTest, OnReport_LaterStartIsFirstReport_OpensAtOnce) {
  check("a");
  m_Restarted.onReport(gone("a"), m_Now);
  m_Restarted.onReport(arrived("a", 1, BornLater), m_Now);
  EXPECT_TRUE(m_Restarted.isOpen());
}

// The settings may name the former service of the address still, or the next.
TEST_F(TargetStateRestartTest, OnHealthCheck_NobodyKnowsService_StaysClosed) {
  check("b");
  EXPECT_EQ(m_Restarted.availability(), TargetAvailability::Unconfirmed);
  m_Restarted.onReport(arrived("b", 5, Born), m_Now);
  EXPECT_TRUE(m_Restarted.isOpen());
}

TEST_F(TargetStateRestartTest, OnRemembered_AfterReportOfOtherService_IsVoid) {
  TargetReport Foreign = arrived("b", 5, Born);
  Foreign.m_Service = "archive";
  m_Restarted.onReport(Foreign, m_Now);
  m_Restarted.onRemembered("b");
  check("b");
  EXPECT_FALSE(m_Restarted.isOpen());
}

TEST_F(TargetStateRestartTest, OnReport_FirstAfterACheck_StaysOpen) {
  check("a");
  m_Restarted.onReport(arrived("a", 9, Born), m_Now);
  EXPECT_TRUE(m_Restarted.isOpen());
  EXPECT_EQ(m_Restarted.startTimeMs(), Born);
}

// Guards against an acknowledged leaving without effect, where the clock of a
// target went back before it started again under its former id.
TEST_F(TargetStateTest, OnReport_DrainingOfEarlierStart_ClosedUntilChecked) {
  m_State.onReport(report("a", 7, 200), m_Now);
  absl::Time CheckBegan = m_Now - absl::Seconds(1);
  m_State.onReport(report("a", 1, 100, TargetCondition::Draining), m_Now);
  EXPECT_FALSE(m_State.isOpen());
  EXPECT_TRUE(m_State.needsCheck());
  m_State.onReport(report("a", 8, 200), m_Now); // It may be late, too.
  EXPECT_FALSE(m_State.isOpen());
  m_State.onHealthCheck("a", true, CheckBegan);
  EXPECT_FALSE(m_State.isOpen());
  m_State.onHealthCheck("a", false, m_Now);
  EXPECT_FALSE(m_State.isOpen());
  m_State.onHealthCheck("a", true, m_Now);
  EXPECT_TRUE(m_State.isOpen());
}

TEST_F(TargetStateTest, OnReport_DrainingOfOtherEarlierInstance_StaysOpen) {
  m_State.onReport(report("b", 1, 200), m_Now);
  m_State.onReport(report("a", 9, 100, TargetCondition::Draining), m_Now);
  EXPECT_TRUE(m_State.isOpen());
  m_State.onReport({.m_Instance = "a", .m_Condition = TargetCondition::Gone},
                   m_Now);
  EXPECT_TRUE(m_State.isOpen());
}

} // namespace
} // namespace knapweedloft::mesh
