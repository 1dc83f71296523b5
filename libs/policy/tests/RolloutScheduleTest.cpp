#include "RolloutFleet.h"

#include "gtest/gtest.h"

#include <sstream>

namespace knapweedloft::policy::testing {
namespace {

constexpr std::size_t Groups = 10;
constexpr std::size_t SchedulesPerGroup = 30;
constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;
constexpr double RollbackSeconds = 5;

/// A roll-out with faults at random times, all drawn from the seed.
class Schedule {
public:
  explicit Schedule(std::size_t Seed) : m_Random(Seed) {
    drawSize();
    if (chance(0.6))
      drawBadVersion();
    drawFaults();
    drawDeciders();
    m_Fleet.m_Seed = Seed;
  }

  [[nodiscard]] const FleetOptions &fleet() const { return m_Fleet; }
  [[nodiscard]] bool isGood() const { return m_Fleet.m_Version.isNone(); }
  /// \returns whether a good version may be late or rolled back.
  [[nodiscard]] bool isExcused() const { return m_IsExcused; }

  [[nodiscard]] std::string describe() const {
    const Fault &Bad = m_Fleet.m_Version;
    std::ostringstream Text;
    Text << m_Fleet.m_Seed << ": former=" << m_Fleet.m_Former
         << " new=" << m_Fleet.m_New << " rate=" << m_Fleet.m_Rate
         << " work=" << m_Fleet.m_Work << " varied=" << m_Fleet.m_IsWorkVaried
         << " duration=" << m_Fleet.m_Duration
         << " cold=" << m_Fleet.m_ColdUntil << " failed=" << Bad.m_FailedShare
         << " slow=" << Bad.m_SlowShare << " from=" << Bad.m_From
         << " load=" << Bad.m_FromLoad << " route=" << Bad.m_OnlyRoute
         << " faults=" << m_Fleet.m_Faults.size()
         << " below=" << m_Fleet.m_Below.has_value()
         << " restarts=" << m_Fleet.m_Restarts.size()
         << " deciders=" << m_Fleet.m_Deciders.size()
         << " deaf=" << m_Fleet.m_Deciders[0].m_DeafTo
         << " pause=" << m_Fleet.m_Deciders[0].m_PauseFrom;
    return Text.str();
  }

private:
  double between(double Least, double Most) {
    return std::uniform_real_distribution<>(Least, Most)(m_Random);
  }
  std::size_t upTo(std::size_t Most) {
    return std::uniform_int_distribution<std::size_t>(0, Most)(m_Random);
  }
  bool chance(double Share) { return between(0, 1) < Share; }

  void drawSize() {
    m_Fleet.m_New = 1 + upTo(11);
    m_Fleet.m_Former = 1 + upTo(20);
    m_Fleet.m_Rate = std::pow(10, between(0, 2.9));
    m_Fleet.m_Work = between(0.02, 0.4);
    m_Fleet.m_Duration = between(12, 16);
    m_Fleet.m_IsWorkVaried = chance(0.3);
    m_Fleet.m_ColdUntil = chance(0.5) ? between(0, 4) : 0;
  }

  void drawBadVersion() {
    Fault &Bad = m_Fleet.m_Version;
    (chance(0.5) ? Bad.m_FailedShare : Bad.m_SlowShare) = between(0.35, 0.5);
    if (chance(0.3))
      Bad.m_From = between(2.5, 3);
    if (chance(0.2))
      Bad.m_FromLoad = 0.1;
    if (chance(0.2))
      Bad.m_OnlyRoute = "r-1";
  }

  Fault drawFault() {
    Fault Drawn;
    Drawn.m_From = between(0, m_Fleet.m_Duration);
    Drawn.m_To = Drawn.m_From + between(1, 8);
    if (chance(0.5)) {
      Drawn.m_FailedShare = between(0.2, 1);
    } else {
      Drawn.m_SlowShare = 1;
      Drawn.m_SlowFactor = between(4, 12);
    }
    return Drawn;
  }

  void drawFaults() {
    if (chance(0.3))
      addTargetFault(upTo(m_Fleet.m_Former - 1));
    if (chance(0.3)) {
      addTargetFault(m_Fleet.m_Former + upTo(m_Fleet.m_New - 1));
      m_IsExcused = m_IsExcused || m_Fleet.m_New == 1;
    }
    if (chance(0.2)) {
      m_Fleet.m_Below = drawFault();
      m_IsExcused = m_IsExcused || stillRunAtDeadline(*m_Fleet.m_Below);
    }
    while (chance(0.3))
      m_Fleet.m_Restarts.emplace_back(
          between(0.5, m_Fleet.m_Duration),
          upTo(m_Fleet.m_Former + m_Fleet.m_New - 1));
  }

  /// \returns whether requests that the service below made slow still take
  /// slots at the deadline: there may be no room then.
  [[nodiscard]] bool stillRunAtDeadline(const Fault &Below) const {
    constexpr double MinSpeed = 0.5;
    double Longest = Below.m_SlowFactor * m_Fleet.m_Work / MinSpeed;
    return Below.m_SlowShare > 0 &&
           Below.m_To + Longest > m_Fleet.m_Duration - 1;
  }

  void addTargetFault(std::size_t Target) {
    m_Fleet.m_Faults.push_back({.m_Targets = {Target}, .m_Fault = drawFault()});
  }

  void drawDeciders() {
    Decider First;
    if (chance(0.2))
      First.m_DeafTo = 3;
    if (chance(0.15)) {
      First.m_PauseFrom = between(0, m_Fleet.m_Duration);
      First.m_PauseTo = First.m_PauseFrom + between(0.5, 4);
      m_IsExcused = m_IsExcused || First.m_PauseTo > m_Fleet.m_Duration - 1;
    }
    m_Fleet.m_Deciders = {First};
    if (!chance(0.3))
      return;
    Decider Second;
    Second.m_From = between(0.5, m_Fleet.m_Duration);
    m_Fleet.m_Deciders[0].m_To = Second.m_From + between(-3, 3);
    m_Fleet.m_Deciders.push_back(Second);
    m_IsExcused = m_IsExcused || Second.m_From > m_Fleet.m_Duration - 1;
  }

  std::mt19937_64 m_Random;
  FleetOptions m_Fleet;
  bool m_IsExcused = false;
};

class RolloutScheduleTest : public ::testing::TestWithParam<std::size_t> {
protected:
  static std::size_t seed(std::size_t Part) {
    return GetParam() * 1'000 + Part;
  }
};

INSTANTIATE_TEST_SUITE_P(Seeds, RolloutScheduleTest,
                         ::testing::Range<std::size_t>(0, Groups));

TEST_P(RolloutScheduleTest, Update_AnyFaults_HoldsExposureAndDeadline) {
  for (std::size_t Part = 0; Part < SchedulesPerGroup; ++Part) {
    Schedule Drawn(seed(Part));
    SCOPED_TRACE(Drawn.describe());
    RolloutFleet::Result Seen = RolloutFleet(Drawn.fleet()).run();
    if (!Drawn.isGood()) {
      EXPECT_LE(Seen.m_NewRequests,
                ExposureShare * Seen.m_Requests + ExposureSlack);
    } else if (!Drawn.isExcused()) {
      EXPECT_EQ(Seen.m_Outcome, RolloutPhase::Completed) << Seen.m_Reason;
      EXPECT_LE(Seen.m_OutcomeAt, Drawn.fleet().m_Duration) << Seen.m_Reason;
    }
  }
}

/// One schedule a test.
class RolloutRollbackTest : public ::testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(
    Seeds, RolloutRollbackTest,
    ::testing::Range<std::size_t>(0, Groups *SchedulesPerGroup));

TEST_P(RolloutRollbackTest, Update_BadVersion_GetsNoRequestAfterRollbackTime) {
  Schedule Drawn(GetParam() / SchedulesPerGroup * 1'000 +
                 GetParam() % SchedulesPerGroup);
  if (Drawn.isGood())
    return;
  SCOPED_TRACE(Drawn.describe());
  RolloutFleet::Result Seen = RolloutFleet(Drawn.fleet()).run();
  EXPECT_LE(Seen.m_LastNewRequestAt, Seen.m_FiftiethBadAt + RollbackSeconds)
      << Seen.m_OutcomeAt << " " << Seen.m_Reason;
}

} // namespace
} // namespace knapweedloft::policy::testing
