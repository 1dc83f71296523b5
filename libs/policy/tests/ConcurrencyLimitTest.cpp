#include "policy/ConcurrencyLimit.h"

#include "SlotModel.h"
#include "policy/PolicyError.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

constexpr double Slots = 100;

class ConcurrencyLimitTest : public testing::Test {
protected:
  absl::Time m_Now = absl::UnixEpoch();
  ConcurrencyLimit m_Limit{{}, m_Now};
  SlotModel m_Target{m_Limit, Slots, m_Now};
};

TEST_F(ConcurrencyLimitTest, Constructor_InitialAboveMax_Throws) {
  EXPECT_THROW(ConcurrencyLimit({.m_Initial = 5, .m_Min = 1, .m_Max = 4},
                                absl::UnixEpoch()),
               PolicyError);
}

TEST_F(ConcurrencyLimitTest, Current_FullDemand_FindsSlotsWithinTwoSeconds) {
  m_Target.run(absl::Seconds(2));
  EXPECT_GE(m_Limit.current(), 0.85 * Slots);
  EXPECT_LE(m_Limit.current(), 1.5 * Slots);
}

TEST_F(ConcurrencyLimitTest, Current_TargetTenTimesSlower_KeepsLimit) {
  m_Target.run(absl::Seconds(5));
  m_Target.setService(absl::Milliseconds(500));
  m_Target.run(absl::Seconds(30));
  EXPECT_GE(m_Limit.current(), 0.85 * Slots);
  EXPECT_LE(m_Limit.current(), 1.4 * Slots);
}

TEST_F(ConcurrencyLimitTest, Current_TargetLosesAndGainsSlots_Follows) {
  m_Target.run(absl::Seconds(5));
  m_Target.setSlots(Slots / 2);
  m_Target.run(absl::Seconds(10));
  EXPECT_LE(m_Limit.current(), 0.75 * Slots);
  m_Target.setSlots(Slots);
  m_Target.run(absl::Seconds(10));
  EXPECT_GE(m_Limit.current(), 0.85 * Slots);
}

TEST_F(ConcurrencyLimitTest, Current_EveryRunFailsFast_DoesNotGrow) {
  m_Target.run(absl::Seconds(5));
  double Before = m_Limit.current();
  m_Target.setOutcome(RunOutcome::Error);
  m_Target.setService(absl::Milliseconds(1));
  m_Target.run(absl::Seconds(5));
  EXPECT_LE(m_Limit.current(), 1.15 * Before);
}

TEST_F(ConcurrencyLimitTest, Current_TargetSheds_Falls) {
  m_Target.run(absl::Seconds(5));
  m_Target.setOutcome(RunOutcome::Shed);
  m_Target.run(absl::Seconds(5));
  EXPECT_LE(m_Limit.current(), 0.2 * Slots);
}

TEST_F(ConcurrencyLimitTest, Current_DemandBelowLimit_DoesNotGrow) {
  m_Target.setDemand(20);
  m_Target.run(absl::Seconds(10));
  EXPECT_LE(m_Limit.current(), 30);
}

TEST_F(ConcurrencyLimitTest, Current_DemandBelowLimitAndSlower_IsNotCut) {
  m_Target.run(absl::Milliseconds(300));
  double Before = m_Limit.current();
  m_Target.setDemand(5);
  m_Target.run(absl::Seconds(1));
  m_Target.setService(absl::Milliseconds(150));
  m_Target.run(absl::Seconds(5));
  EXPECT_GE(m_Limit.current(), Before);
}

TEST_F(ConcurrencyLimitTest, Restart_AfterFullLoad_StartsSmallAndRamps) {
  m_Target.run(absl::Seconds(5));
  m_Target.loseAll();
  m_Limit.restart(m_Target.now());
  EXPECT_EQ(m_Limit.current(), 2);
  EXPECT_TRUE(m_Limit.isRamping());
  m_Target.run(absl::Seconds(2));
  EXPECT_GE(m_Limit.current(), 0.85 * Slots);
}

} // namespace
} // namespace knapweedloft::policy
