#include "policy/PaceFilter.h"

#include "SlowMoment.h"

#include "gtest/gtest.h"

#include <cmath>
#include <random>

namespace knapweedloft::policy {
namespace {

constexpr absl::Duration Step = absl::Milliseconds(10);
constexpr absl::Duration Period = absl::Milliseconds(600);
constexpr double SlowFactor = 2.5;
constexpr double SlowShare = 0.15;

/// A machine that is slow in some of its periods and names its pace with each
/// run that ends.
class NoisyMachine {
public:
  double paceAt(absl::Time At) {
    auto Index = static_cast<std::uint64_t>((At - absl::UnixEpoch()) / Period);
    return slowMoment(Index, SlowShare) ? SlowFactor : 1;
  }

  /// \returns when work of \p Usual that starts at \p At is done.
  absl::Time end(absl::Time At, absl::Duration Usual) {
    constexpr absl::Duration Slice = absl::Milliseconds(1);
    for (absl::Duration Done; Done < Usual; At += Slice)
      Done += Slice / paceAt(At);
    return At;
  }
};

class PaceFilterTest : public ::testing::Test {
protected:
  enum class Figure { True, Usual, OfAnother };

  absl::Duration usualWork() {
    std::lognormal_distribution<double> Work(std::log(0.14), 0.6);
    return absl::Seconds(Work(m_Random));
  }

  void report(Figure Says, absl::Time At) {
    double Percent = 100;
    if (Says == Figure::True)
      Percent = 100 * m_Machine.paceAt(At);
    if (Says == Figure::OfAnother)
      Percent = 100 * m_Machine.paceAt(At + absl::Hours(1));
    m_Filter.onReport(Percent, At);
  }

  /// One run after the other, each with a report at its end.
  void run(absl::Duration For, Figure Says) {
    for (absl::Time End = m_Now + For; m_Now < End;) {
      absl::Duration Start = m_Filter.clock(m_Now);
      absl::Time Started = m_Now;
      absl::Time Ends = m_Machine.end(m_Now, usualWork());
      for (; m_Now < Ends; m_Now += Step)
        report(Says, m_Now);
      (void)m_Filter.onRun(0, m_Now - Started, Start, m_Now);
    }
  }

  NoisyMachine m_Machine;
  PaceFilter m_Filter;
  std::mt19937_64 m_Random{3};
  absl::Time m_Now = absl::FromUnixSeconds(1000);
};

TEST_F(PaceFilterTest, Pace_NothingReported_IsUsual) {
  EXPECT_EQ(m_Filter.pace({}, m_Now), 1);
  EXPECT_EQ(m_Filter.trust(m_Now), PaceFilter::Trust::Unnamed);
  EXPECT_EQ(
      m_Filter.onRun(0, absl::Milliseconds(80), absl::ZeroDuration(), m_Now),
      absl::Milliseconds(80));
}

TEST_F(PaceFilterTest, Pace_TrueFigure_IsConfirmedAndTellsSlowFromFast) {
  run(absl::Seconds(60), Figure::True);
  EXPECT_GT(m_Filter.confirmedShare(), 0.6);
  m_Filter.onReport(250, m_Now);
  double Slow = m_Filter.pace({}, m_Now);
  m_Filter.onReport(100, m_Now);
  double Fast = m_Filter.pace({}, m_Now);
  EXPECT_GT(Slow / Fast, std::pow(SlowFactor, 0.6));
}

TEST_F(PaceFilterTest, HalfLife_PeriodOf600Ms_IsAboutFourTenthsOfASecond) {
  run(absl::Seconds(60), Figure::True);
  // An exponential of the same mean life: 0.69 of the period.
  EXPECT_GT(m_Filter.halfLife(), Period * 0.4);
  EXPECT_LT(m_Filter.halfLife(), Period * 1.2);
}

// Guards against a first change that makes all that follows worthless.
TEST_F(PaceFilterTest, HalfLife_FirstChange_IsStillMostlyTheInitialOne) {
  m_Filter.onReport(100, m_Now);
  m_Filter.onReport(250, m_Now + Step);
  EXPECT_GT(m_Filter.halfLife(), absl::Milliseconds(50));
}

TEST_F(PaceFilterTest, Pace_ReportAges_GoesBackToTheMean) {
  run(absl::Seconds(30), Figure::True);
  m_Filter.onReport(250, m_Now);
  double Fresh = m_Filter.pace({}, m_Now);
  double Old = m_Filter.pace({}, m_Now + Period);
  EXPECT_LT(Old - 1, (Fresh - 1) / 2);
  EXPECT_NEAR(m_Filter.pace({}, m_Now + 10 * Period), 1, 0.02);
}

TEST_F(PaceFilterTest, OnRun_TrueFigure_UsualTimesVaryLess) {
  run(absl::Seconds(60), Figure::True);
  double Raw = 0;
  double Usual = 0;
  constexpr int Runs = 300;
  absl::Duration Work = absl::Milliseconds(200);
  double MeanRaw = 0;
  double MeanUsual = 0;
  for (int Index = 0; Index < Runs; ++Index) {
    absl::Time Started = m_Now;
    absl::Duration Start = m_Filter.clock(m_Now);
    for (absl::Time End = m_Machine.end(m_Now, Work); m_Now < End;
         m_Now += Step)
      report(Figure::True, m_Now);
    double Seconds = absl::ToDoubleSeconds(m_Now - Started);
    double Corrected =
        absl::ToDoubleSeconds(m_Filter.onRun(0, m_Now - Started, Start, m_Now));
    MeanRaw += Seconds / Runs;
    MeanUsual += Corrected / Runs;
    Raw += Seconds * Seconds / Runs;
    Usual += Corrected * Corrected / Runs;
  }
  double RawSpread = std::sqrt(Raw - MeanRaw * MeanRaw) / MeanRaw;
  double UsualSpread = std::sqrt(Usual - MeanUsual * MeanUsual) / MeanUsual;
  EXPECT_LT(UsualSpread, RawSpread / 2);
}

TEST_F(PaceFilterTest, Pace_FigureHasNothingToDoWithRuns_IsNotUsed) {
  run(absl::Seconds(60), Figure::OfAnother);
  EXPECT_LT(m_Filter.confirmedShare(), 0.25);
  m_Filter.onReport(250, m_Now);
  EXPECT_NEAR(m_Filter.pace({}, m_Now), 1, 0.15);
}

TEST_F(PaceFilterTest, Pace_FigureStandsStill_IsNotUsed) {
  run(absl::Seconds(30), Figure::True);
  for (int Count = 0; Count < 1100; ++Count) {
    m_Now += Step;
    m_Filter.onReport(250, m_Now);
  }
  EXPECT_EQ(m_Filter.trust(m_Now), PaceFilter::Trust::Frozen);
  EXPECT_EQ(m_Filter.pace({}, m_Now), 1);
  m_Filter.onReport(100, m_Now + Step);
  EXPECT_EQ(m_Filter.trust(m_Now + Step), PaceFilter::Trust::Used);
}

TEST_F(PaceFilterTest, Pace_AlwaysUsual_ChangesNothing) {
  run(absl::Seconds(20), Figure::Usual);
  EXPECT_EQ(m_Filter.pace({}, m_Now), 1);
  EXPECT_EQ(m_Filter.trust(m_Now), PaceFilter::Trust::Used);
}

} // namespace
} // namespace knapweedloft::policy
