#include "RolloutFleet.h"

#include "absl/random/distributions.h"
#include "gtest/gtest.h"

#include <string>
#include <tuple>

namespace knapweedloft::mesh::testing {
namespace {

using Fault = RolloutFleet::Fault;

constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;
constexpr absl::Duration RollbackTime = absl::Seconds(5);

RolloutFleet::Options optionsFor(std::size_t Daemons, const Fault &Wrong = {}) {
  RolloutFleet::Options Options;
  Options.m_New = std::max<std::size_t>(1, Daemons / 3);
  Options.m_Former = Daemons - Options.m_New;
  Options.m_Fault = Wrong;
  return Options;
}

const Fault Fails{.m_FailureShare = 0.5};
const Fault Slow{.m_SlowFactor = 5};
const Fault FailsLate{.m_FailureShare = 0.5, .m_After = absl::Seconds(7)};
const Fault FailsOneRoute{.m_FailureShare = 0.8, .m_PathPrefix = "/orders/"};

RolloutOutcome outcomeOf(RolloutFleet &Fleet) {
  auto Status = Fleet.store().status();
  return Status ? Status->m_Outcome : RolloutOutcome::InProgress;
}

void expectOneOutcome(RolloutFleet &Fleet) {
  for (const RolloutStatus &Written : Fleet.store().outcomes())
    EXPECT_EQ(Written.m_Outcome, Fleet.store().outcomes().front().m_Outcome);
}

/// What a bad version may get.
void expectBoundedExposure(RolloutFleet &Fleet) {
  auto New = static_cast<double>(Fleet.arrivals("v2"));
  auto All = static_cast<double>(Fleet.arrivals("v1")) + New;
  EXPECT_LE(New, ExposureShare * All + ExposureSlack);
  EXPECT_EQ(Fleet.arrivalsAfter("v2", Fleet.fiftiethBadAnswer() + RollbackTime),
            0U);
}

void expectCompleted(RolloutFleet &Fleet) {
  EXPECT_EQ(outcomeOf(Fleet), RolloutOutcome::Completed) << Fleet.log();
  expectOneOutcome(Fleet);
}

void expectRolledBack(RolloutFleet &Fleet) {
  EXPECT_EQ(outcomeOf(Fleet), RolloutOutcome::RolledBack) << Fleet.log();
  expectOneOutcome(Fleet);
  expectBoundedExposure(Fleet);
}

/// Runs until a second after the deadline.
void runToDeadline(RolloutFleet &Fleet) {
  Fleet.run(Fleet.deadline() - Fleet.now() + absl::Seconds(1));
}

class RolloutSizeTest : public ::testing::TestWithParam<std::size_t> {};

TEST_P(RolloutSizeTest, Order_GoodVersion_IsCompletedByTheDeadline) {
  RolloutFleet Fleet(optionsFor(GetParam()));
  Fleet.order();
  Fleet.run(absl::Seconds(16));
  expectCompleted(Fleet);
  absl::Time Completed = Fleet.now();
  Fleet.run(absl::Seconds(5));
  EXPECT_EQ(Fleet.arrivalsAfter("v1", Completed), 0U);
  EXPECT_GT(Fleet.arrivalsAfter("v2", Completed), 500U);
  EXPECT_EQ(Fleet.store().writes(), 2U);
}

TEST_P(RolloutSizeTest, Order_BadVersion_IsRolledBackWithinItsBounds) {
  for (const Fault &Wrong : {Fails, Slow, FailsLate, FailsOneRoute}) {
    RolloutFleet Fleet(optionsFor(GetParam(), Wrong));
    Fleet.order();
    Fleet.run(absl::Seconds(16));
    expectRolledBack(Fleet);
    absl::Time RolledBack = Fleet.now();
    Fleet.run(absl::Seconds(5));
    EXPECT_EQ(Fleet.arrivalsAfter("v2", RolledBack), 0U);
    EXPECT_GT(Fleet.arrivalsAfter("v1", RolledBack), 500U);
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, RolloutSizeTest,
                         ::testing::Values(3U, 13U, 63U));

/// What happens to the daemon that decides, and when.
enum class Mishap : std::uint8_t { Killed, Cut, Paused };

class RolloutDeciderTest
    : public ::testing::TestWithParam<std::tuple<Mishap, int>> {
protected:
  static void strike(RolloutFleet &Fleet) {
    std::size_t Decider = Fleet.decider();
    if (Decider == Fleet.size())
      return;
    switch (std::get<0>(GetParam())) {
    case Mishap::Killed:
      return Fleet.restart(Decider, absl::Seconds(2));
    case Mishap::Paused:
      return Fleet.pause(Decider, absl::Seconds(3));
    case Mishap::Cut:
      Fleet.cut(Decider, true);
      Fleet.run(absl::Seconds(4));
      Fleet.cut(Decider, false);
      break;
    }
  }

  static void play(RolloutFleet &Fleet) {
    Fleet.order();
    Fleet.run(absl::Milliseconds(std::get<1>(GetParam())));
    strike(Fleet);
    Fleet.run(Fleet.deadline() - Fleet.now() + absl::Seconds(6));
  }
};

TEST_P(RolloutDeciderTest, Decider_LostWithGoodVersion_AnotherCompletes) {
  RolloutFleet Fleet(optionsFor(13));
  play(Fleet);
  expectCompleted(Fleet);
  EXPECT_EQ(Fleet.deciders(), 0U);
}

TEST_P(RolloutDeciderTest, Decider_LostWithBadVersion_ExposureIsBounded) {
  for (const Fault &Wrong : {Fails, FailsLate}) {
    RolloutFleet Fleet(optionsFor(13, Wrong));
    play(Fleet);
    expectRolledBack(Fleet);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Steps, RolloutDeciderTest,
    ::testing::Combine(::testing::Values(Mishap::Killed, Mishap::Cut,
                                         Mishap::Paused),
                       ::testing::Values(2, 8, 700, 3000, 7500, 12000)));

TEST(RolloutStoreFaultTest, ThirdOfDaemons_TurnedAway_OutcomeIsReached) {
  for (const Fault &Wrong : {Fault{}, Fails}) {
    RolloutFleet Fleet(optionsFor(13, Wrong));
    for (std::size_t Index = 0; Index < 13; Index += 3)
      Fleet.store().turnAway(Index);
    Fleet.order();
    runToDeadline(Fleet);
    if (Wrong.m_FailureShare == 0)
      expectCompleted(Fleet);
    else
      expectRolledBack(Fleet);
  }
}

TEST(RolloutStoreFaultTest, Store_AwayAtTheDeadline_OutcomeIsWrittenLater) {
  RolloutFleet Good(optionsFor(13));
  Good.order();
  Good.run(absl::Seconds(10));
  Good.store().setAway(true);
  Good.run(absl::Seconds(9));
  EXPECT_EQ(outcomeOf(Good), RolloutOutcome::InProgress);
  absl::Time Away = Good.now();
  Good.run(absl::Seconds(3));
  EXPECT_GT(Good.arrivalsAfter("v2", Away), 300U);
  Good.store().setAway(false);
  Good.run(absl::Seconds(3));
  expectCompleted(Good);

  RolloutFleet Bad(optionsFor(13, FailsLate));
  Bad.order();
  Bad.run(absl::Seconds(6));
  Bad.store().setAway(true);
  Bad.run(absl::Seconds(12));
  expectBoundedExposure(Bad);
  Away = Bad.now();
  Bad.run(absl::Seconds(3));
  EXPECT_EQ(Bad.arrivalsAfter("v2", Away), 0U);
  Bad.store().setAway(false);
  Bad.run(absl::Seconds(3));
  expectRolledBack(Bad);
}

TEST(RolloutStoreFaultTest, Writes_LostOrLate_OneOutcomeIsWritten) {
  for (auto How :
       {RolloutStore::WriteFault::Lost, RolloutStore::WriteFault::Late})
    for (const Fault &Wrong : {Fault{}, Fails}) {
      RolloutFleet Fleet(optionsFor(13, Wrong));
      Fleet.store().setWriteFault(How);
      Fleet.order();
      Fleet.run(absl::Seconds(4));
      if (Fleet.decider() < Fleet.size())
        Fleet.restart(Fleet.decider());
      // Each write takes effect seconds later, those of the claims too.
      Fleet.run(absl::Seconds(40));
      if (Wrong.m_FailureShare == 0)
        expectCompleted(Fleet);
      else
        expectRolledBack(Fleet);
    }
}

TEST(RolloutStoreFaultTest, Store_RestoredWithoutOutcome_IsWrittenAgain) {
  for (const Fault &Wrong : {Fault{}, Fails}) {
    RolloutFleet Fleet(optionsFor(13, Wrong));
    Fleet.order();
    runToDeadline(Fleet);
    RolloutOutcome Former = outcomeOf(Fleet);
    for (std::size_t Records : {1U, 2U}) {
      Fleet.restoreStore(Records);
      Fleet.run(absl::Seconds(6));
      EXPECT_EQ(outcomeOf(Fleet), Former);
    }
    expectOneOutcome(Fleet);
  }
}

TEST(RolloutStoreFaultTest, Store_RestoredDuringTrial_OutcomeIsReached) {
  for (const Fault &Wrong : {Fault{}, FailsLate}) {
    RolloutFleet Fleet(optionsFor(13, Wrong));
    Fleet.order();
    Fleet.run(absl::Seconds(5));
    Fleet.restoreStore(1);
    Fleet.run(absl::Seconds(1));
    EXPECT_TRUE(Fleet.store().status());
    runToDeadline(Fleet);
    if (Wrong.m_FailureShare == 0)
      expectCompleted(Fleet);
    else
      expectRolledBack(Fleet);
  }
}

TEST(RolloutRestartTest, AllDaemons_AfterRollback_NewVersionStaysClosed) {
  RolloutFleet Fleet(optionsFor(13, Fails));
  Fleet.order();
  runToDeadline(Fleet);
  expectRolledBack(Fleet);
  absl::Time RolledBack = Fleet.now();
  Fleet.restartAll();
  Fleet.run(absl::Seconds(8));
  EXPECT_EQ(Fleet.arrivalsAfter("v2", RolledBack), 0U);
  EXPECT_GT(Fleet.arrivalsAfter("v1", RolledBack + absl::Seconds(3)), 500U);
  expectOneOutcome(Fleet);
}

TEST(RolloutRestartTest, AllDaemons_AfterCompletion_FormerVersionStaysClosed) {
  RolloutFleet Fleet(optionsFor(13));
  Fleet.order();
  runToDeadline(Fleet);
  expectCompleted(Fleet);
  Fleet.restartAll();
  Fleet.run(absl::Seconds(5));
  absl::Time Settled = Fleet.now();
  Fleet.run(absl::Seconds(5));
  EXPECT_EQ(Fleet.arrivalsAfter("v1", Settled), 0U);
  EXPECT_GT(Fleet.arrivalsAfter("v2", Settled), 500U);
  expectOneOutcome(Fleet);
}

TEST(RolloutRestartTest, AllDaemons_DuringTrial_BadVersionIsRolledBack) {
  RolloutFleet Fleet(optionsFor(13, FailsLate));
  Fleet.order();
  Fleet.run(absl::Seconds(5));
  Fleet.restartAll();
  Fleet.run(absl::Seconds(25));
  expectRolledBack(Fleet);
}

TEST(RolloutOrderTest, SecondOrder_WithoutTargets_EndsTheFirst) {
  RolloutFleet Fleet(optionsFor(13));
  Fleet.order("v2");
  Fleet.run(absl::Seconds(3));
  Fleet.order("v3");
  runToDeadline(Fleet);
  EXPECT_EQ(outcomeOf(Fleet), RolloutOutcome::RolledBack);
  EXPECT_EQ(Fleet.store().status()->m_Order.m_TargetVersion, "v3");
  EXPECT_EQ(Fleet.store().outcomes().size(), 1U);
}

TEST(RolloutOrderTest, Removed_DuringTrial_IsRolledBack) {
  RolloutFleet Fleet(optionsFor(13));
  Fleet.order();
  Fleet.run(absl::Seconds(3));
  Fleet.removeOrder();
  Fleet.run(absl::Seconds(2));
  expectRolledBack(Fleet);
  absl::Time Removed = Fleet.now();
  Fleet.run(absl::Seconds(3));
  EXPECT_EQ(Fleet.arrivalsAfter("v2", Removed), 0U);
}

class RolloutScheduleTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
  /// Something that goes wrong, at random.
  void strike(RolloutFleet &Fleet) {
    std::size_t Index = absl::Uniform(m_Random, 0U, Fleet.size());
    if (absl::Bernoulli(m_Random, 0.5) && Fleet.decider() < Fleet.size())
      Index = Fleet.decider();
    switch (absl::Uniform(m_Random, 0, 6)) {
    case 0:
      return Fleet.restart(Index);
    case 1:
      return Fleet.pause(Index, absl::Seconds(3));
    case 2:
      Fleet.cut(Index, true);
      m_Cut.push_back(Index);
      return;
    case 3:
      return Fleet.store().setAway(absl::Bernoulli(m_Random, 0.5));
    case 4:
      return Fleet.store().setWriteFault(
          static_cast<RolloutStore::WriteFault>(absl::Uniform(m_Random, 0, 3)));
    default:
      return Fleet.restoreStore(absl::Uniform(m_Random, 0U, 2U));
    }
  }

  void heal(RolloutFleet &Fleet) {
    Fleet.store().setAway(false);
    Fleet.store().setWriteFault(RolloutStore::WriteFault::None);
    for (std::size_t Index : std::exchange(m_Cut, {}))
      Fleet.cut(Index, false);
  }

  std::mt19937_64 m_Random{GetParam()};
  std::vector<std::size_t> m_Cut;
};

TEST_P(RolloutScheduleTest, Faults_AtRandom_ExposureAndOutcomeHold) {
  const Fault Kinds[] = {{}, Fails, Slow, FailsLate, FailsOneRoute};
  const Fault &Wrong = Kinds[GetParam() % std::size(Kinds)];
  RolloutFleet::Options Options = optionsFor(9, Wrong);
  Options.m_Seed = GetParam();
  RolloutFleet Fleet(Options);
  Fleet.order();
  for (int Step = 0; Step < 6; ++Step) {
    Fleet.run(absl::Seconds(absl::Uniform(m_Random, 0.0, 2.5)));
    strike(Fleet);
  }
  heal(Fleet);
  Fleet.run(absl::Seconds(30));
  expectOneOutcome(Fleet);
  EXPECT_NE(outcomeOf(Fleet), RolloutOutcome::InProgress) << Fleet.log();
  if (GetParam() % std::size(Kinds) != 0)
    expectBoundedExposure(Fleet);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RolloutScheduleTest,
                         ::testing::Range<std::uint64_t>(1, 41));

} // namespace
} // namespace knapweedloft::mesh::testing
