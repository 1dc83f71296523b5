#include "policy/DemandGauge.h"
#include "policy/DoorOrder.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <deque>
#include <random>

namespace knapweedloft::policy {
namespace {

/// A service of ten slots that lies below an entrance: work let in arrives
/// half a second later and takes a slot for 100 ms each.
class DemandGaugeTest : public testing::Test {
protected:
  static constexpr absl::Duration Step = absl::Milliseconds(10);
  static constexpr int StepsBelow = 50;
  static constexpr double Slots = 10;
  static constexpr double Work = 0.1;

  /// \returns the share of the work that arrived and was run in the last half
  /// of \p Span.
  double run(absl::Duration Span, double OfferedASecond) {
    double Ran = 0;
    double Arrived = 0;
    int Steps = static_cast<int>(Span / Step);
    for (int Index = 0; Index < Steps; ++Index) {
      m_Now += Step;
      m_Pipe.push_back(OfferedASecond * absl::ToDoubleSeconds(Step) *
                       m_Gauge.admitted());
      double Coming = 0;
      if (m_Pipe.size() > StepsBelow) {
        Coming = m_Pipe.front();
        m_Pipe.pop_front();
      }
      double Room = Slots * absl::ToDoubleSeconds(Step) / Work;
      double Run = std::min(Coming, Room);
      m_Gauge.onRunning(
          static_cast<std::size_t>(Run * Work / absl::ToDoubleSeconds(Step)),
          m_Now);
      m_Gauge.onTurnedAway(absl::Seconds((Coming - Run) * Work));
      m_Gauge.update(Slots, m_Now);
      if (Index >= Steps / 2) {
        Ran += Run;
        Arrived += Coming;
      }
    }
    return Arrived > 0 ? Ran / Arrived : 1;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  DemandGauge m_Gauge{{}};
  std::deque<double> m_Pipe;
};

TEST_F(DemandGaugeTest, Admitted_WorkFits_LetsInAll) {
  run(absl::Seconds(10), 80);
  EXPECT_EQ(m_Gauge.admitted(), 1);
}

TEST_F(DemandGaugeTest, Admitted_ThreeTimesTheWork_HardlyAnyIsWasted) {
  EXPECT_GT(run(absl::Seconds(20), 300), 0.9);
  // Most of what it can do is let in.
  EXPECT_GT(m_Gauge.admitted(), 0.2);
}

TEST_F(DemandGaugeTest, Admitted_LoadHasEnded_LetsInAllWithinSeconds) {
  run(absl::Seconds(20), 300);
  run(absl::Seconds(6), 20);
  EXPECT_EQ(m_Gauge.admitted(), 1);
}

TEST_F(DemandGaugeTest, Admitted_RunsTakeLongButSlotsAreFree_LetsInAll) {
  for (int Index = 0; Index < 400; ++Index) {
    m_Now += Step;
    m_Gauge.onRunning(6, m_Now); // They wait for what they call.
    m_Gauge.update(Slots, m_Now);
  }
  EXPECT_EQ(m_Gauge.admitted(), 1);
}

class DoorOrderTest : public testing::Test {
protected:
  double passed(std::uint32_t Rank, bool IsReturning, double Admitted) {
    int Passed = 0;
    for (int Index = 0; Index < Rounds; ++Index) {
      (void)m_Door.pass(1, false, Admitted, m_Engine);
      (void)m_Door.pass(40, false, Admitted, m_Engine);
      Passed += m_Door.pass(Rank, IsReturning, Admitted, m_Engine) ? 1 : 0;
    }
    return Passed / static_cast<double>(Rounds);
  }

  static constexpr int Rounds = 4000;
  std::mt19937_64 m_Engine{3};
  DoorOrder m_Door{{}};
};

TEST_F(DoorOrderTest, Pass_AllMayPass_PassesAll) {
  EXPECT_EQ(passed(40, false, 1), 1);
}

TEST_F(DoorOrderTest, Pass_HalfMayPass_UrgentGoFirst) {
  // Two in three are urgent in the first trial, one in three in the second:
  // strictly by order 0.75 and 0.25 of those asked for pass.
  EXPECT_GT(passed(1, false, 0.5), 0.7);
  EXPECT_LT(passed(40, false, 0.5), 0.4);
}

TEST_F(DoorOrderTest, Pass_FewMayPass_NobodyIsTurnedAwayAlways) {
  EXPECT_GT(passed(40, false, 0.1), 0.05);
}

TEST_F(DoorOrderTest, Pass_HalfMayPass_ThoseThatReturnGoBeforeTheirRank) {
  double Returning = passed(40, true, 0.5);
  EXPECT_GT(Returning, passed(40, false, 0.5) + 0.2);
}

TEST_F(DoorOrderTest, Pass_AllReturn_TheirPartIsKept) {
  int Passed = 0;
  for (int Index = 0; Index < Rounds; ++Index)
    Passed += m_Door.pass(7, true, 0.3, m_Engine) ? 1 : 0;
  EXPECT_NEAR(Passed / static_cast<double>(Rounds), 0.3, 0.1);
}

} // namespace
} // namespace knapweedloft::policy
