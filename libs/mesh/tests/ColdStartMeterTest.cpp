#include "mesh/ColdStartMeter.h"

#include "gtest/gtest.h"

namespace knapweedloft::mesh {
namespace {

class ColdStartMeterTest : public ::testing::Test {
protected:
  void start(int Count) {
    for (; Count > 0; --Count)
      m_Meter.onStart(m_Now);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  ColdStartMeter m_Meter;
};

TEST_F(ColdStartMeterTest, OnStart_OverTwoSeconds_CountsTheFullestSecond) {
  m_Meter.onCold(m_Now + absl::Seconds(3), m_Now);
  start(2);
  m_Now += absl::Milliseconds(600);
  start(4);
  m_Now += absl::Milliseconds(600);
  start(3);
  EXPECT_EQ(m_Meter.starts(), 9U);
  EXPECT_EQ(m_Meter.mostInOneSecond(), 7U);
}

TEST_F(ColdStartMeterTest, OnStart_WarmTarget_IsNotCounted) {
  start(2);
  m_Meter.onCold(m_Now, m_Now);
  start(2);
  EXPECT_EQ(m_Meter.starts(), 0U);
  EXPECT_FALSE(m_Meter.takeEnded(m_Now));
}

TEST_F(ColdStartMeterTest, TakeEnded_ColdTimeCutShort_TellsItOnce) {
  m_Meter.onCold(m_Now + absl::Seconds(3), m_Now);
  start(2);
  m_Now += absl::Seconds(1);
  EXPECT_FALSE(m_Meter.takeEnded(m_Now));
  m_Meter.onCold(m_Now, m_Now);
  auto Ended = m_Meter.takeEnded(m_Now);
  ASSERT_TRUE(Ended);
  EXPECT_EQ(Ended->m_Starts, 2U);
  EXPECT_EQ(Ended->m_MostInOneSecond, 2U);
  EXPECT_EQ(Ended->m_Lasted, absl::Seconds(1));
  EXPECT_FALSE(m_Meter.takeEnded(m_Now));
}

TEST_F(ColdStartMeterTest, OnCold_SecondColdTime_CountsAnew) {
  m_Meter.onCold(m_Now + absl::Seconds(1), m_Now);
  start(5);
  m_Now += absl::Seconds(1);
  (void)m_Meter.takeEnded(m_Now);
  m_Meter.onCold(m_Now + absl::Seconds(1), m_Now);
  start(1);
  m_Now += absl::Seconds(1);
  EXPECT_EQ(m_Meter.takeEnded(m_Now)->m_Starts, 1U);
  EXPECT_EQ(m_Meter.mostInOneSecond(), 5U);
}

} // namespace
} // namespace knapweedloft::mesh
