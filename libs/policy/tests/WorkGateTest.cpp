#include "policy/WorkGate.h"

#include "gtest/gtest.h"

#include <vector>

namespace knapweedloft::policy {
namespace {

/// A gate with ten slots, of which nine are used.
class WorkGateTest : public testing::Test {
protected:
  WorkGateTest() { m_Gate.setSlots(10); }

  WorkGate::Verdict offer(WorkGate::JobId Id, std::uint32_t Rank = 1,
                          absl::Duration Within = absl::Seconds(1)) {
    return m_Gate.offer(
        {.m_Id = Id, .m_Kind = 0, .m_Rank = Rank, .m_EndBy = m_Now + Within},
        m_Now);
  }

  void fill() {
    for (WorkGate::JobId Id = 1; Id <= m_Gate.limit(); ++Id)
      ASSERT_EQ(offer(Id), WorkGate::Verdict::Run);
  }

  /// Runs of 100 ms have been seen.
  void learn() {
    ASSERT_EQ(offer(1000), WorkGate::Verdict::Run);
    m_Gate.finish(1000, absl::Milliseconds(100), true);
  }

  void poll() {
    m_Run.clear();
    m_Refused.clear();
    m_Gate.poll(m_Now, m_Run, m_Refused);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  WorkGate m_Gate{{}};
  std::vector<WorkGate::JobId> m_Run;
  std::vector<WorkGate::Refusal> m_Refused;
};

TEST_F(WorkGateTest, Offer_NearlyFull_LeavesSlotsFree) {
  fill();
  EXPECT_EQ(m_Gate.limit(), 9U);
  EXPECT_EQ(offer(100), WorkGate::Verdict::Queued);
}

TEST_F(WorkGateTest, Offer_TurnWouldComeTooLate_RefusesAtOnce) {
  learn();
  fill();
  EXPECT_EQ(offer(100, 1, absl::Milliseconds(105)), WorkGate::Verdict::Refused);
  EXPECT_EQ(offer(101, 1, absl::Milliseconds(200)), WorkGate::Verdict::Queued);
}

TEST_F(WorkGateTest, Offer_TargetTurnedSlow_RefusesWhatItTookBefore) {
  learn();
  fill();
  ASSERT_EQ(offer(100, 1, absl::Milliseconds(400)), WorkGate::Verdict::Queued);
  ASSERT_TRUE(m_Gate.cancel(100));
  for (WorkGate::JobId Id = 1; Id <= 9; ++Id)
    m_Gate.finish(Id, absl::Seconds(1), true);
  fill();
  EXPECT_EQ(offer(101, 1, absl::Milliseconds(400)), WorkGate::Verdict::Refused);
}

TEST_F(WorkGateTest, Poll_SlotFree_RunsTheMostUrgentFirst) {
  fill();
  ASSERT_EQ(offer(100, 5), WorkGate::Verdict::Queued);
  ASSERT_EQ(offer(101, 0), WorkGate::Verdict::Queued);
  m_Gate.finish(1, absl::Milliseconds(50), true);
  poll();
  EXPECT_EQ(m_Run, std::vector<WorkGate::JobId>{101});
}

TEST_F(WorkGateTest, Poll_MoreUrgentWorkCameBefore_RefusesWhatIsNowHopeless) {
  learn();
  fill();
  ASSERT_EQ(offer(100, 5, absl::Milliseconds(150)), WorkGate::Verdict::Queued);
  for (WorkGate::JobId Id = 200; Id < 220; ++Id)
    ASSERT_EQ(offer(Id, 0), WorkGate::Verdict::Queued);
  poll();
  ASSERT_EQ(m_Refused.size(), 1U);
  EXPECT_EQ(m_Refused[0].m_Id, 100U);
  EXPECT_GT(m_Refused[0].m_RetryAfter, absl::ZeroDuration());
}

TEST_F(WorkGateTest, Poll_ColdTarget_StartsNoMoreThanItBearsInAnySecond) {
  m_Gate.setSlots(1000);
  m_Gate.setCold(m_Now + absl::Seconds(3), 50);
  std::vector<absl::Time> Starts;
  for (int Step = 0; Step < 250; ++Step) {
    if (offer(Step + 1, 1, absl::Seconds(30)) == WorkGate::Verdict::Run)
      Starts.push_back(m_Now);
    poll();
    Starts.insert(Starts.end(), m_Run.size(), m_Now);
    m_Now += absl::Milliseconds(10);
  }
  for (std::size_t To = 0; To < Starts.size(); ++To) {
    std::size_t From = To;
    while (From > 0 && Starts[To] - Starts[From - 1] < absl::Seconds(1))
      --From;
    ASSERT_LE(To - From + 1, 50U);
  }
  EXPECT_GE(Starts.size(), 80U);
}

TEST_F(WorkGateTest, RefuseAll_TargetLeaves_NothingWaits) {
  fill();
  ASSERT_EQ(offer(100), WorkGate::Verdict::Queued);
  m_Gate.refuseAll(m_Refused);
  ASSERT_EQ(m_Refused.size(), 1U);
  EXPECT_EQ(m_Gate.load().m_Queued, 0U);
}

TEST_F(WorkGateTest, Cancel_RunningJob_IsNotTakenOut) {
  fill();
  EXPECT_FALSE(m_Gate.cancel(1));
}

} // namespace
} // namespace knapweedloft::policy
