#include "policy/RatePacer.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace knapweedloft::policy {
namespace {

class RatePacerTest : public testing::Test {
protected:
  /// Starts whatever is allowed at each tick.
  void startAll(absl::Duration For) {
    constexpr absl::Duration Tick = absl::Milliseconds(20);
    for (absl::Time End = m_Now + For; m_Now < End; m_Now += Tick)
      while (m_Pacer.nextStart(m_Now) <= m_Now) {
        m_Pacer.onStart(m_Now);
        m_Starts.push_back(m_Now);
        ASSERT_LT(m_Starts.size(), 100'000U);
      }
  }

  [[nodiscard]] std::size_t mostIn(absl::Duration Span) const {
    std::size_t Most = 0;
    for (auto First = m_Starts.begin(); First != m_Starts.end(); ++First) {
      auto Last = std::lower_bound(First, m_Starts.end(), *First + Span);
      Most = std::max(Most, static_cast<std::size_t>(Last - First));
    }
    return Most;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  std::vector<absl::Time> m_Starts;
  RatePacer m_Pacer;
};

class RatePacerRateTest : public RatePacerTest,
                          public testing::WithParamInterface<double> {};

TEST_P(RatePacerRateTest, NextStart_AnyFourSeconds_StaysWithinRateAndBatch) {
  double Batch = std::max(1.0, std::floor(GetParam() * 0.25));
  m_Pacer.setRate(GetParam(), m_Now);
  startAll(absl::Seconds(60));
  EXPECT_LE(static_cast<double>(mostIn(absl::Seconds(4))),
            GetParam() * 4 + Batch);
  // Most of the rate is used.
  EXPECT_GE(static_cast<double>(m_Starts.size()), GetParam() * 60 * 0.85 - 1);
}

TEST_P(RatePacerRateTest, SetRate_AfterBurst_FirstStartWaits) {
  m_Pacer.setRate(GetParam(), m_Now);
  EXPECT_GT(m_Pacer.nextStart(m_Now), m_Now);
}

INSTANTIATE_TEST_SUITE_P(Rates, RatePacerRateTest,
                         testing::Values(0.1, 0.5, 1, 3.7, 21.5, 65, 400));

TEST_F(RatePacerTest, SetRate_Falls_HoldsNewRateAtOnce) {
  m_Pacer.setRate(100, m_Now);
  startAll(absl::Seconds(5));
  m_Pacer.setRate(4, m_Now);
  m_Starts.clear();
  startAll(absl::Seconds(8));
  EXPECT_LE(mostIn(absl::Seconds(4)), 17U);
}

TEST_F(RatePacerTest, Clear_Limited_StartsAtOnce) {
  m_Pacer.setRate(0.1, m_Now);
  m_Pacer.clear();
  EXPECT_FALSE(m_Pacer.isLimited());
  EXPECT_EQ(m_Pacer.nextStart(m_Now), m_Now);
}

} // namespace
} // namespace knapweedloft::policy
