#include "policy/SlotScheduler.h"

#include "gtest/gtest.h"

#include <utility>
#include <vector>

namespace knapweedloft::policy {
namespace {

/// A scheduler with ten slots, of which it uses nine.
class SlotSchedulerTest : public testing::Test {
protected:
  SlotSchedulerTest() { m_Scheduler.setSlots(10); }

  SlotScheduler::Verdict offer(SlotScheduler::JobId Id, std::uint32_t Rank = 1,
                               absl::Duration Within = absl::Seconds(1)) {
    return m_Scheduler.offer({.m_Id = Id,
                              .m_Class = 0,
                              .m_Rank = Rank,
                              .m_CompleteBy = m_Now + Within},
                             m_Now);
  }

  void fillSlots() {
    for (SlotScheduler::JobId Id = 1; Id <= m_Scheduler.limit(); ++Id)
      ASSERT_EQ(offer(Id), SlotScheduler::Verdict::Run);
  }

  /// Makes the expected latency 100 ms.
  void runOnce() {
    ASSERT_EQ(offer(1000), SlotScheduler::Verdict::Run);
    m_Scheduler.finish(1000, absl::Milliseconds(100), true);
  }

  void poll() {
    m_Run.clear();
    m_Refused.clear();
    m_Scheduler.poll(m_Now, m_Run, m_Refused);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  SlotScheduler m_Scheduler{{}};
  std::vector<SlotScheduler::JobId> m_Run;
  std::vector<SlotScheduler::Refusal> m_Refused;
};

TEST_F(SlotSchedulerTest, Offer_NearlyFull_LeavesSlotsFree) {
  fillSlots();
  EXPECT_EQ(m_Scheduler.limit(), 9U);
  EXPECT_EQ(offer(100), SlotScheduler::Verdict::Queued);
}

TEST_F(SlotSchedulerTest, Offer_CannotCompleteInTime_RefusesAtOnce) {
  runOnce();
  fillSlots();
  EXPECT_EQ(offer(100, 1, absl::Milliseconds(105)),
            SlotScheduler::Verdict::Refused);
  EXPECT_EQ(offer(101, 1, absl::Milliseconds(200)),
            SlotScheduler::Verdict::Queued);
}

TEST_F(SlotSchedulerTest, Offer_TargetBecameSlow_RefusesWhatItQueuedBefore) {
  runOnce();
  fillSlots();
  ASSERT_EQ(offer(100, 1, absl::Milliseconds(400)),
            SlotScheduler::Verdict::Queued);
  ASSERT_TRUE(m_Scheduler.cancel(100));
  for (SlotScheduler::JobId Id = 1; Id <= 9; ++Id)
    m_Scheduler.finish(Id, absl::Seconds(1), true);
  fillSlots();
  EXPECT_EQ(offer(101, 1, absl::Milliseconds(400)),
            SlotScheduler::Verdict::Refused);
}

TEST_F(SlotSchedulerTest, Poll_SlotFree_RunsLowestRankFirst) {
  fillSlots();
  ASSERT_EQ(offer(100, 5), SlotScheduler::Verdict::Queued);
  ASSERT_EQ(offer(101, 0), SlotScheduler::Verdict::Queued);
  m_Scheduler.finish(1, absl::Milliseconds(50), true);
  poll();
  EXPECT_EQ(m_Run, std::vector<SlotScheduler::JobId>{101});
}

TEST_F(SlotSchedulerTest,
       Poll_OvertakenByUrgentJobs_RefusesJobThatIsNowTooLate) {
  runOnce();
  fillSlots();
  ASSERT_EQ(offer(100, 5, absl::Milliseconds(150)),
            SlotScheduler::Verdict::Queued);
  for (SlotScheduler::JobId Id = 200; Id < 220; ++Id)
    ASSERT_EQ(offer(Id, 0), SlotScheduler::Verdict::Queued);
  poll();
  ASSERT_EQ(m_Refused.size(), 1U);
  EXPECT_EQ(m_Refused[0].m_Id, 100U);
  EXPECT_GT(m_Refused[0].m_RetryAfter, absl::ZeroDuration());
}

/// Requests that each make several calls, one after the other, while the target
/// can start a fifth of them. Calls that run by arrival all wait for as long,
/// so that hardly a request gets all of its calls answered.
TEST_F(SlotSchedulerTest, Poll_RequestsWithSeveralCalls_OldestGetAllOfTheirs) {
  constexpr int CallsEach = 4;
  constexpr int Requests = 300;
  constexpr absl::Duration Deadline = absl::Milliseconds(2500);
  m_Scheduler.setSlots(1000);
  m_Scheduler.setCold(m_Now + absl::Minutes(1), 100);
  absl::Time Begin = m_Now;
  auto BeganAt = [&](int Request) {
    return Begin + absl::Milliseconds(20 * Request);
  };
  std::vector<int> Answered(Requests);
  auto Call = [&](int Request) {
    SlotScheduler::Job Next{
        .m_Id = static_cast<std::uint64_t>(Request * CallsEach +
                                           Answered[Request] + 1),
        .m_CompleteBy = BeganAt(Request) + Deadline,
        .m_RunBefore = BeganAt(Request) + Deadline,
    };
    if (m_Scheduler.offer(Next, m_Now) == SlotScheduler::Verdict::Run)
      m_Run.push_back(Next.m_Id);
  };
  int Complete = 0;
  for (int Step = 0; Step < 1'000; ++Step, m_Now += absl::Milliseconds(10)) {
    if (Step % 2 == 0 && Step / 2 < Requests)
      Call(Step / 2);
    m_Scheduler.poll(m_Now, m_Run, m_Refused);
    std::vector<SlotScheduler::JobId> Running = std::exchange(m_Run, {});
    for (SlotScheduler::JobId Id : Running) {
      m_Scheduler.finish(Id, absl::Milliseconds(10), true);
      int Request = static_cast<int>((Id - 1) / CallsEach);
      if (++Answered[Request] == CallsEach)
        ++Complete;
      else
        Call(Request);
    }
  }
  // 90 starts a second, over the 6 s of arrivals and a deadline.
  EXPECT_GE(Complete, 150);
}

TEST_F(SlotSchedulerTest, Poll_ColdTarget_StaysWithinItsStartsInAnySecond) {
  m_Scheduler.setSlots(1000);
  m_Scheduler.setCold(m_Now + absl::Seconds(3), 50);
  std::vector<absl::Time> Starts;
  for (int Step = 0; Step < 250; ++Step) {
    if (offer(Step + 1, 1, absl::Seconds(30)) == SlotScheduler::Verdict::Run)
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

TEST_F(SlotSchedulerTest, RefuseAll_TargetLeaves_EmptiesQueue) {
  fillSlots();
  ASSERT_EQ(offer(100), SlotScheduler::Verdict::Queued);
  m_Scheduler.refuseAll(m_Refused);
  ASSERT_EQ(m_Refused.size(), 1U);
  EXPECT_EQ(m_Scheduler.load().m_Queued, 0U);
}

TEST_F(SlotSchedulerTest, Cancel_RunningJob_IsNotRemoved) {
  fillSlots();
  EXPECT_FALSE(m_Scheduler.cancel(1));
}

} // namespace
} // namespace knapweedloft::policy
