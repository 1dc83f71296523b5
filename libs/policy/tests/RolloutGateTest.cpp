#include "policy/RolloutGate.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

class RolloutGateTest : public testing::Test {
protected:
  RolloutGate gate(bool IsNewVersion) {
    RolloutGate Gate{RolloutGate::Options()};
    Gate.setOrder(IsNewVersion);
    return Gate;
  }

  RolloutGate::Command command(RolloutPhase Phase, double Share = 0,
                               std::uint64_t Allowance = 0) {
    return {.m_Epoch = 1,
            .m_Sequence = ++m_Sequence,
            .m_Phase = Phase,
            .m_Share = Share,
            .m_Allowance = Allowance};
  }

  int accept(RolloutGate &Gate, int Tries) {
    int Accepted = 0;
    while (--Tries >= 0)
      Accepted += Gate.tryAccept(m_Now) ? 1 : 0;
    return Accepted;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1'000'000);
  absl::Duration m_Lifetime = RolloutGate::Options().m_CommandLifetime;
  std::uint64_t m_Sequence = 0;
};

TEST_F(RolloutGateTest, TryAccept_NoOrder_TakesAllAndCountsNone) {
  RolloutGate Gate{RolloutGate::Options()};
  EXPECT_EQ(accept(Gate, 10), 10);
  EXPECT_EQ(Gate.accepted(), 0);
  EXPECT_EQ(Gate.exposure(m_Now), 1);
  EXPECT_FALSE(Gate.onCommand(command(RolloutPhase::RolledBack), m_Now));
}

TEST_F(RolloutGateTest, TryAccept_BeforeAnyCommand_OnlyFormerVersion) {
  RolloutGate New = gate(true);
  RolloutGate Former = gate(false);
  EXPECT_EQ(accept(New, 10), 0);
  EXPECT_EQ(accept(Former, 10), 10);
  EXPECT_FALSE(New.isOpen(m_Now));
  EXPECT_EQ(New.exposure(m_Now), 0);
  EXPECT_EQ(Former.exposure(m_Now), 1);
}

TEST_F(RolloutGateTest, TryAccept_Trial_NewVersionGetsItsAllowance) {
  RolloutGate New = gate(true);
  RolloutGate Former = gate(false);
  auto Trial = command(RolloutPhase::Trial, 0.03, 5);
  EXPECT_TRUE(New.onCommand(Trial, m_Now));
  EXPECT_TRUE(Former.onCommand(Trial, m_Now));
  EXPECT_EQ(accept(New, 10), 5);
  EXPECT_EQ(New.accepted(), 5);
  EXPECT_EQ(accept(Former, 10), 10);
  EXPECT_EQ(New.exposure(m_Now), 0.03);
  EXPECT_EQ(Former.exposure(m_Now), 0.97);
  EXPECT_TRUE(New.onCommand(command(RolloutPhase::Trial, 0.03, 8), m_Now));
  EXPECT_EQ(accept(New, 10), 3);
}

TEST_F(RolloutGateTest, PutBack_RequestNotRun_MayBeTakenAgain) {
  RolloutGate New = gate(true);
  New.onCommand(command(RolloutPhase::Trial, 0.03, 1), m_Now);
  EXPECT_EQ(accept(New, 2), 1);
  New.putBack();
  EXPECT_EQ(accept(New, 2), 1);
}

TEST_F(RolloutGateTest, TryAccept_CommandLapsed_FallsBackToFormerVersion) {
  RolloutGate New = gate(true);
  RolloutGate Former = gate(false);
  auto Full = command(RolloutPhase::Switching, 1, 100);
  New.onCommand(Full, m_Now);
  Former.onCommand(Full, m_Now);
  EXPECT_EQ(accept(New, 1), 1);
  EXPECT_EQ(accept(Former, 1), 0);
  m_Now += m_Lifetime + absl::Milliseconds(1);
  EXPECT_EQ(accept(New, 1), 0);
  EXPECT_EQ(accept(Former, 1), 1);
  EXPECT_EQ(New.exposure(m_Now), 0);
  EXPECT_EQ(Former.exposure(m_Now), 1);
}

TEST_F(RolloutGateTest, OnCommand_OldOnArrival_LifeCountsFromTheSending) {
  RolloutGate New = gate(true);
  auto Old = command(RolloutPhase::Trial, 0.03, 5);
  Old.m_Age = m_Lifetime - absl::Milliseconds(100);
  EXPECT_TRUE(New.onCommand(Old, m_Now));
  EXPECT_TRUE(New.isOpen(m_Now));
  EXPECT_FALSE(New.isOpen(m_Now + absl::Milliseconds(101)));
}

TEST_F(RolloutGateTest, TryAccept_SwitchingBelowOne_FormerVersionStaysOpen) {
  RolloutGate Former = gate(false);
  Former.onCommand(command(RolloutPhase::Switching, 0.99), m_Now);
  EXPECT_EQ(accept(Former, 10), 10);
  Former.onCommand(command(RolloutPhase::Switching, 1), m_Now);
  EXPECT_EQ(accept(Former, 10), 0);
}

TEST_F(RolloutGateTest, TryAccept_FinalPhase_DoesNotLapse) {
  RolloutGate Completed = gate(true);
  RolloutGate Stopped = gate(false);
  RolloutGate RolledBack = gate(true);
  RolloutGate Kept = gate(false);
  auto Complete = command(RolloutPhase::Completed, 1);
  auto RollBack = command(RolloutPhase::RolledBack);
  Completed.onCommand(Complete, m_Now);
  Stopped.onCommand(Complete, m_Now);
  RolledBack.onCommand(RollBack, m_Now);
  Kept.onCommand(RollBack, m_Now);
  m_Now += absl::Hours(1);
  EXPECT_EQ(accept(Completed, 10), 10);
  EXPECT_EQ(accept(Stopped, 10), 0);
  EXPECT_EQ(accept(RolledBack, 10), 0);
  EXPECT_EQ(accept(Kept, 10), 10);
}

TEST_F(RolloutGateTest, OnCommand_OlderEpochOrSequence_IsVoid) {
  RolloutGate New = gate(true);
  auto Newest = command(RolloutPhase::Trial, 0.03, 5);
  Newest.m_Epoch = 2;
  EXPECT_TRUE(New.onCommand(Newest, m_Now));
  EXPECT_FALSE(New.onCommand(Newest, m_Now));
  EXPECT_FALSE(New.onCommand(command(RolloutPhase::Completed, 1), m_Now));
  EXPECT_EQ(New.phase(), RolloutPhase::Trial);
  EXPECT_EQ(accept(New, 10), 5);
}

TEST_F(RolloutGateTest, SetOrder_Another_VoidsCommandsAndCounts) {
  RolloutGate New = gate(true);
  New.onCommand(command(RolloutPhase::Completed, 1), m_Now);
  EXPECT_EQ(accept(New, 10), 10);
  New.setOrder(true);
  EXPECT_EQ(accept(New, 10), 0);
  EXPECT_EQ(New.accepted(), 0);
  EXPECT_EQ(New.phase(), RolloutPhase::None);
  RolloutGate::Command First{.m_Epoch = 1,
                             .m_Sequence = 1,
                             .m_Phase = RolloutPhase::Trial,
                             .m_Share = 0.03,
                             .m_Allowance = 2};
  EXPECT_TRUE(New.onCommand(First, m_Now));
  EXPECT_EQ(accept(New, 10), 2);
}

TEST_F(RolloutGateTest, ClearOrder_AfterRollBack_TakesAll) {
  RolloutGate New = gate(true);
  New.onCommand(command(RolloutPhase::RolledBack), m_Now);
  New.clearOrder();
  EXPECT_FALSE(New.hasOrder());
  EXPECT_EQ(accept(New, 10), 10);
}

} // namespace
} // namespace knapweedloft::policy
