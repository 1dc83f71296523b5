#include "RolloutFleet.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <ostream>

namespace knapweedloft::policy::testing {
namespace {

constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;
constexpr double RollbackSeconds = 5;

struct Size {
  std::size_t m_Former;
  std::size_t m_New;
};

std::ostream &operator<<(std::ostream &Out, const Size &Of) {
  return Out << Of.m_Former + Of.m_New;
}

const std::vector<Size> Sizes = {{2, 1}, {9, 4}, {42, 21}, {200, 100}};

struct BadVersion {
  const char *m_Name;
  Fault m_Fault;
};

/// At 300 daemons all of the service's requests take a tenth of the slots.
const std::vector<BadVersion> BadVersions = {
    {"Failing", {.m_FailedShare = 0.35}},
    {"Slow", {.m_SlowShare = 0.35}},
    {"FailingLate", {.m_From = 3, .m_FailedShare = 0.35}},
    {"SlowLate", {.m_From = 3, .m_SlowShare = 0.35}},
    {"FailingOnOneRoute", {.m_FailedShare = 0.35, .m_OnlyRoute = "r-2"}},
    {"SlowOnOneRoute", {.m_SlowShare = 0.35, .m_OnlyRoute = "r-2"}},
    {"FailingUnderLoad", {.m_FailedShare = 0.35, .m_FromLoad = 0.05}},
    {"SlowUnderLoad", {.m_SlowShare = 0.35, .m_FromLoad = 0.05}},
    {"AllSlow", {.m_SlowShare = 1}},
};

FleetOptions fleet(const Size &Of) {
  FleetOptions Settings;
  Settings.m_Former = Of.m_Former;
  Settings.m_New = Of.m_New;
  return Settings;
}

std::vector<std::size_t> thirdOf(std::size_t Count) {
  std::vector<std::size_t> Third;
  for (std::size_t Index = 0; Index < Count; Index += 3)
    Third.push_back(Index);
  return Third;
}

void expectWithinExposure(const RolloutFleet::Result &Seen) {
  EXPECT_LE(Seen.m_NewRequests,
            ExposureShare * Seen.m_Requests + ExposureSlack);
  EXPECT_LE(Seen.m_LastNewRequestAt, Seen.m_FiftiethBadAt + RollbackSeconds);
}

void expectRolledBack(const RolloutFleet::Result &Seen) {
  EXPECT_EQ(Seen.m_Outcome, RolloutPhase::RolledBack) << Seen.m_Reason;
  expectWithinExposure(Seen);
}

void expectCompleted(const RolloutFleet::Result &Seen,
                     const FleetOptions &Settings) {
  EXPECT_EQ(Seen.m_Outcome, RolloutPhase::Completed) << Seen.m_Reason;
  EXPECT_LE(Seen.m_OutcomeAt, Settings.m_Duration) << Seen.m_Reason;
}

class RolloutPlanSizeTest : public ::testing::TestWithParam<Size> {};

INSTANTIATE_TEST_SUITE_P(Daemons, RolloutPlanSizeTest,
                         ::testing::ValuesIn(Sizes));

TEST_P(RolloutPlanSizeTest, Update_GoodVersion_IsCompletedWithoutLoss) {
  for (bool IsWorkVaried : {false, true}) {
    FleetOptions Settings = fleet(GetParam());
    Settings.m_IsWorkVaried = IsWorkVaried;
    RolloutFleet::Result Seen = RolloutFleet(Settings).run();
    expectCompleted(Seen, Settings);
    expectWithinExposure(Seen);
    EXPECT_EQ(Seen.m_Unserved, 0);
  }
}

TEST_P(RolloutPlanSizeTest, Update_LowDemand_IsCompleted) {
  for (double Rate : {0.0, 1.0, 10.0}) {
    FleetOptions Settings = fleet(GetParam());
    Settings.m_Rate = Rate;
    expectCompleted(RolloutFleet(Settings).run(), Settings);
  }
}

TEST_P(RolloutPlanSizeTest, Update_ThirdOfDaemonsNotHeard_DecidesTheSame) {
  FleetOptions Settings = fleet(GetParam());
  Settings.m_Deciders = {Decider{.m_DeafTo = 3}};
  expectCompleted(RolloutFleet(Settings).run(), Settings);
  Settings.m_Version = {.m_FailedShare = 0.35};
  expectRolledBack(RolloutFleet(Settings).run());
}

TEST_P(RolloutPlanSizeTest, Update_ServiceBelowFailsOrIsSlow_IsNoEvidence) {
  for (bool IsSlow : {false, true}) {
    FleetOptions Settings = fleet(GetParam());
    Settings.m_Below = Fault{.m_From = 5, .m_To = 8};
    (IsSlow ? Settings.m_Below->m_SlowShare : Settings.m_Below->m_FailedShare) =
        0.8;
    expectCompleted(RolloutFleet(Settings).run(), Settings);
  }
}

TEST_P(RolloutPlanSizeTest, Update_ServiceBelowFails_DoesNotExcuse) {
  FleetOptions Settings = fleet(GetParam());
  Settings.m_Below = Fault{.m_From = 2, .m_To = 5, .m_FailedShare = 0.5};
  Settings.m_Version = {.m_FailedShare = 0.4};
  expectRolledBack(RolloutFleet(Settings).run());
}

TEST_P(RolloutPlanSizeTest, Update_DeciderReplaced_DecidesTheSame) {
  for (double From : {1.0, 6.0, 12.1, 12.8, 13.4}) {
    SCOPED_TRACE(From);
    FleetOptions Settings = fleet(GetParam());
    Settings.m_Deciders = {Decider{.m_To = From + 3}, Decider{.m_From = From}};
    expectCompleted(RolloutFleet(Settings).run(), Settings);
    Settings.m_Version = {.m_SlowShare = 0.35};
    expectRolledBack(RolloutFleet(Settings).run());
  }
}

struct BadCase {
  Size m_Size;
  BadVersion m_Bad;
};

std::ostream &operator<<(std::ostream &Out, const BadCase &Of) {
  return Out << Of.m_Size.m_Former + Of.m_Size.m_New << Of.m_Bad.m_Name;
}

std::vector<BadCase> badCases() {
  std::vector<BadCase> Cases;
  for (const Size &Of : Sizes) {
    for (const BadVersion &Bad : BadVersions)
      Cases.push_back({Of, Bad});
  }
  return Cases;
}

class RolloutPlanBadTest : public ::testing::TestWithParam<BadCase> {};

INSTANTIATE_TEST_SUITE_P(Daemons, RolloutPlanBadTest,
                         ::testing::ValuesIn(badCases()));

TEST_P(RolloutPlanBadTest, Update_BadVersion_IsRolledBackWithinExposure) {
  FleetOptions Settings = fleet(GetParam().m_Size);
  Settings.m_Version = GetParam().m_Bad.m_Fault;
  RolloutFleet::Result Seen = RolloutFleet(Settings).run();
  RecordProperty("bad_answers", std::to_string(Seen.m_BadUntilOutcome));
  RecordProperty("new_requests", std::to_string(Seen.m_NewRequests));
  RecordProperty("requests", std::to_string(Seen.m_Requests));
  RecordProperty("seconds", std::to_string(Seen.m_OutcomeAt));
  expectRolledBack(Seen);
}

class RolloutPlanTest : public ::testing::Test {
protected:
  FleetOptions m_Settings;
};

TEST_F(RolloutPlanTest, Update_SingleFaultyMachine_IsCompleted) {
  const std::vector<Fault> Faults = {{.m_FailedShare = 0.5},
                                     {.m_SlowShare = 1, .m_SlowFactor = 4},
                                     {.m_SlowShare = 1, .m_SlowFactor = 12}};
  for (const Fault &Of : Faults) {
    for (std::size_t Target : {0, 10}) {
      FleetOptions Settings;
      Settings.m_Faults = {{.m_Targets = {Target}, .m_Fault = Of}};
      expectCompleted(RolloutFleet(Settings).run(), Settings);
    }
  }
}

TEST_F(RolloutPlanTest, Update_SingleFaultyMachine_DoesNotExcuseTheVersion) {
  m_Settings.m_Faults = {{.m_Targets = {0}, .m_Fault = {.m_FailedShare = 1}}};
  m_Settings.m_Version = {.m_FailedShare = 0.35};
  expectRolledBack(RolloutFleet(m_Settings).run());
}

TEST_F(RolloutPlanTest, Update_GreyZone_IsCompleted) {
  m_Settings.m_New = 6;
  m_Settings.m_Faults = {
      {.m_Targets = thirdOf(15),
       .m_Fault = {.m_From = 4, .m_To = 9, .m_FailedShare = 0.4}}};
  expectCompleted(RolloutFleet(m_Settings).run(), m_Settings);
}

TEST_F(RolloutPlanTest, Update_ColdNewTargets_AreCompletedWhenWarm) {
  m_Settings.m_Rate = 900;
  m_Settings.m_ColdUntil = 5;
  expectCompleted(RolloutFleet(m_Settings).run(), m_Settings);
}

TEST_F(RolloutPlanTest, Update_DaemonsRestart_SumHolds) {
  m_Settings.m_Version = {.m_FailedShare = 0.4, .m_FromLoad = 0.4};
  for (std::size_t Target = 0; Target < 13; ++Target)
    m_Settings.m_Restarts.emplace_back(3 + 0.25 * static_cast<double>(Target),
                                       Target);
  RolloutFleet::Result Seen = RolloutFleet(m_Settings).run();
  EXPECT_LE(Seen.m_NewRequests,
            ExposureShare * Seen.m_Requests + ExposureSlack);
}

TEST_F(RolloutPlanTest, Update_PausedOverTheDeadline_TakesFreshSamplesFirst) {
  m_Settings.m_Deciders = {Decider{.m_PauseFrom = 6, .m_PauseTo = 16}};
  RolloutFleet::Result Seen = RolloutFleet(m_Settings).run();
  EXPECT_EQ(Seen.m_Outcome, RolloutPhase::Completed);
  EXPECT_GE(Seen.m_OutcomeAt, 16.3);
}

/// A plan that hears of one former target and of two new ones, by hand.
class RolloutPlanSampleTest : public ::testing::Test {
protected:
  RolloutPlanSampleTest() {
    for (const char *Name : {"former", "new-1", "new-2"})
      m_Samples.push_back(
          {.m_Daemon = Name,
           .m_Incarnation = 1,
           .m_Instance = Name,
           .m_Version = std::string(Name) == "former" ? "v1" : "v2",
           .m_IsOpen = true,
           .m_Slots = 100});
  }

  const RolloutPlan::Command &step() {
    m_Now += absl::Milliseconds(250);
    for (const RolloutSample &Sample : m_Samples)
      m_Plan.onSample(Sample, m_Now);
    return m_Plan.update(m_Now);
  }

  absl::Time m_Start = absl::FromUnixSeconds(1'000'000);
  absl::Time m_Now = m_Start;
  std::vector<RolloutSample> m_Samples;
  RolloutPlan m_Plan{{},
                     {.m_Service = "s",
                      .m_TargetVersion = "v2",
                      .m_Received = m_Start,
                      .m_Duration = absl::Seconds(12)},
                     RolloutPhase::None,
                     m_Start};
};

TEST_F(RolloutPlanSampleTest, Update_DaemonsRestart_FormerAllowancesCount) {
  double Ended = 0;
  for (int Step = 0; Step < 36; ++Step) {
    m_Samples[0].m_Arrivals += 100;
    RolloutPlan::Command Next = step();
    double Allowed = Ended;
    for (const auto &[Daemon, Requests] : Next.m_Allowances)
      Allowed += static_cast<double>(Requests);
    double Arrivals = static_cast<double>(m_Samples[0].m_Arrivals);
    EXPECT_LE(Allowed, 0.6 * (ExposureShare * Arrivals + ExposureSlack));
    for (std::size_t Target : {1, 2}) {
      Ended +=
          static_cast<double>(Next.m_Allowances[m_Samples[Target].m_Daemon]);
      ++m_Samples[Target].m_Incarnation;
    }
  }
  EXPECT_LE(Ended,
            ExposureShare * static_cast<double>(m_Samples[0].m_Arrivals) +
                ExposureSlack);
}

TEST_F(RolloutPlanSampleTest, Update_DaemonLost_GetsNoAllowanceUntilHeard) {
  EXPECT_EQ(step().m_Allowances.size(), 2);
  m_Plan.onDaemonLost("new-1", m_Now);
  EXPECT_EQ(m_Plan.update(m_Now).m_Allowances.count("new-1"), 0);
  EXPECT_EQ(step().m_Allowances.count("new-1"), 1);
}

TEST_F(RolloutPlanSampleTest, Update_NoRoomForAllThatRuns_IsRolledBack) {
  m_Samples[0].m_Slots = 1'000;
  m_Samples[0].m_Running = 300;
  while (m_Now < m_Start + absl::Seconds(12))
    EXPECT_LE(step().m_Share, 0.25);
  EXPECT_EQ(m_Plan.update(m_Now).m_Phase, RolloutPhase::RolledBack);
  EXPECT_THAT(m_Plan.update(m_Now).m_Reason, ::testing::HasSubstr("no room"));
}

TEST_F(RolloutPlanSampleTest, Update_NewTargetsCold_TakesOverWhenWarm) {
  m_Samples[0].m_Slots = 1'000;
  m_Samples[0].m_Running = 150;
  m_Samples[1].m_IsCold = true;
  m_Samples[2].m_IsCold = true;
  while (m_Now < m_Start + absl::Seconds(11))
    EXPECT_EQ(step().m_Phase, RolloutPhase::Trial);
  m_Samples[1].m_IsCold = false;
  m_Samples[2].m_IsCold = false;
  EXPECT_EQ(step().m_Phase, RolloutPhase::Switching);
}

TEST_F(RolloutPlanTest, Update_NoTargetOfTheVersion_IsRolledBackAtDeadline) {
  RolloutPlan::Order Ordered{.m_Service = "s",
                             .m_TargetVersion = "v2",
                             .m_Received = absl::FromUnixSeconds(1'000'000),
                             .m_Duration = absl::Seconds(2)};
  absl::Time Now = Ordered.m_Received;
  RolloutPlan Plan({}, Ordered, RolloutPhase::None, Now);
  for (; Now < Ordered.m_Received + Ordered.m_Duration;
       Now += absl::Milliseconds(250))
    EXPECT_FALSE(isFinal(Plan.update(Now).m_Phase));
  const RolloutPlan::Command &Last = Plan.update(Now);
  EXPECT_EQ(Last.m_Phase, RolloutPhase::RolledBack);
  EXPECT_THAT(Last.m_Reason, ::testing::HasSubstr("no target"));
}

TEST_F(RolloutPlanTest, Update_FinalPhaseAdopted_StaysFinal) {
  absl::Time Now = absl::FromUnixSeconds(1'000'000);
  RolloutPlan::Order Ordered{.m_Service = "s",
                             .m_TargetVersion = "v2",
                             .m_Received = Now,
                             .m_Duration = absl::Seconds(12)};
  for (RolloutPhase Adopted :
       {RolloutPhase::Completed, RolloutPhase::RolledBack}) {
    RolloutPlan Plan({}, Ordered, Adopted, Now);
    EXPECT_EQ(Plan.update(Now).m_Phase, Adopted);
    EXPECT_EQ(Plan.update(Now + absl::Minutes(1)).m_Phase, Adopted);
    EXPECT_EQ(Plan.update(Now).m_Share,
              Adopted == RolloutPhase::Completed ? 1 : 0);
  }
}

} // namespace
} // namespace knapweedloft::policy::testing
