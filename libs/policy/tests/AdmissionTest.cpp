#include "policy/Admission.h"

#include "policy/PolicyError.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace knapweedloft::policy {
namespace {

constexpr absl::Duration Service = absl::Milliseconds(50);

class AdmissionTest : public testing::Test {
protected:
  AdmissionDecision offer(TicketId Id,
                          model::Priority Priority = model::Priority::Normal,
                          std::uint32_t Customer = 0,
                          absl::Duration Left = absl::Seconds(10)) {
    return m_Admission.offer({.m_Id = Id,
                              .m_Priority = Priority,
                              .m_Customer = Customer,
                              .m_Deadline = m_Now + Left},
                             m_Now);
  }

  void finish(TicketId Id, RunOutcome Outcome = RunOutcome::Success) {
    m_Admission.finish(Id, Outcome, Service, m_Now);
  }

  void poll() {
    m_Run.clear();
    m_Refused.clear();
    m_Admission.poll(m_Now, m_Run, m_Refused);
  }

  /// Advances the time by \p Span and polls at each event.
  void advance(absl::Duration Span) {
    absl::Time End = m_Now + Span;
    m_AllRefused.clear();
    while (m_Admission.nextEvent() <= End) {
      m_Now = std::max(m_Now, m_Admission.nextEvent());
      poll();
      m_AllRefused.insert(m_AllRefused.end(), m_Refused.begin(),
                          m_Refused.end());
    }
    m_Now = End;
  }

  absl::Time m_Now = absl::UnixEpoch();
  Admission::Options m_Settings{.m_UseAdaptiveLimit = false, .m_FixedLimit = 2};
  Admission m_Admission{m_Settings, m_Now};
  std::vector<TicketId> m_Run;
  std::vector<AdmissionRefusal> m_Refused;
  std::vector<AdmissionRefusal> m_AllRefused;
};

TEST_F(AdmissionTest, Offer_SlotFree_Runs) {
  EXPECT_EQ(offer(1).m_Verdict, Verdict::Run);
}

TEST_F(AdmissionTest, Offer_KnownId_Throws) {
  (void)offer(1);
  EXPECT_THROW((void)offer(1), PolicyError);
}

TEST_F(AdmissionTest, Offer_DeadlinePassed_Refuses) {
  AdmissionDecision Decision =
      offer(1, model::Priority::Normal, 0, absl::ZeroDuration());
  EXPECT_EQ(Decision.m_Verdict, Verdict::Refused);
  EXPECT_EQ(Decision.m_Reason, model::RefusalReason::DeadlinePassed);
}

TEST_F(AdmissionTest, Offer_DeadlineBelowFastestRuns_Refuses) {
  (void)offer(1);
  (void)offer(2);
  finish(1);
  AdmissionDecision Decision =
      offer(3, model::Priority::Normal, 0, Service / 2);
  EXPECT_EQ(Decision.m_Reason, model::RefusalReason::DeadlineTooShort);
}

TEST_F(AdmissionTest, Offer_ShortDeadlineButNothingRuns_Runs) {
  (void)offer(1);
  finish(1);
  EXPECT_EQ(offer(2, model::Priority::Normal, 0, Service / 2).m_Verdict,
            Verdict::Run);
}

TEST_F(AdmissionTest, Poll_SlotFreed_RunsMostImportant) {
  (void)offer(1);
  (void)offer(2);
  EXPECT_EQ(offer(3, model::Priority::Low).m_Verdict, Verdict::Queued);
  EXPECT_EQ(offer(4, model::Priority::Critical).m_Verdict, Verdict::Queued);
  finish(1);
  poll();
  EXPECT_EQ(m_Run, std::vector<TicketId>{4});
}

TEST_F(AdmissionTest, Poll_WaitedTooLong_RefusesEachOnce) {
  (void)offer(1);
  (void)offer(2);
  (void)offer(3);
  (void)offer(4);
  advance(absl::Seconds(2));
  ASSERT_EQ(m_AllRefused.size(), 2U);
  EXPECT_EQ(m_AllRefused[0].m_Reason, model::RefusalReason::Overloaded);
  EXPECT_GT(m_AllRefused[0].m_RetryAfter, absl::ZeroDuration());
  EXPECT_EQ(m_Admission.load(m_Now).m_Queued, 0U);
}

TEST_F(AdmissionTest, Cancel_Queued_RemovesFromQueue) {
  (void)offer(1);
  (void)offer(2);
  (void)offer(3);
  EXPECT_TRUE(m_Admission.cancel(3, m_Now));
  EXPECT_FALSE(m_Admission.cancel(3, m_Now));
  EXPECT_FALSE(m_Admission.cancel(1, m_Now));
  finish(1);
  poll();
  EXPECT_TRUE(m_Run.empty());
}

TEST_F(AdmissionTest, Finish_Cancelled_FreesSlotAtOnce) {
  (void)offer(1);
  (void)offer(2);
  (void)offer(3);
  finish(1, RunOutcome::Cancelled);
  poll();
  EXPECT_EQ(m_Run, std::vector<TicketId>{3});
}

TEST_F(AdmissionTest, Offer_QueueFull_EvictsLessImportant) {
  m_Settings.m_MaxQueued = 2;
  m_Admission = Admission(m_Settings, m_Now);
  for (TicketId Id = 1; Id <= 4; ++Id)
    (void)offer(Id, model::Priority::Low);
  EXPECT_EQ(offer(5, model::Priority::Low).m_Verdict, Verdict::Refused);
  EXPECT_EQ(offer(6, model::Priority::High).m_Verdict, Verdict::Queued);
  poll();
  ASSERT_EQ(m_Refused.size(), 1U);
  EXPECT_EQ(m_Refused[0].m_Id, 4U);
}

TEST_F(AdmissionTest, Load_StandingQueueOfLowPriority_ShedsLowOnly) {
  (void)offer(1);
  (void)offer(2);
  for (TicketId Id = 10; Id < 200; ++Id) {
    (void)offer(Id, model::Priority::Low);
    advance(absl::Milliseconds(10));
  }
  float Level = m_Admission.load(m_Now, 0).m_ShedLevel;
  EXPECT_GT(Level, 0.3F);
  EXPECT_LE(Level, 1.0F);
}

TEST_F(AdmissionTest, Load_CustomerBelowItsShare_IsNotShed) {
  std::deque<TicketId> Running;
  // Of three steps, customer 0 sends in two and customer 1 in one; two requests
  // complete.
  for (TicketId Id = 10; Id < 400; ++Id) {
    std::uint32_t Customer = Id % 3 == 0 ? 1 : 0;
    if (offer(Id, model::Priority::Normal, Customer).m_Verdict == Verdict::Run)
      Running.push_back(Id);
    if (Id % 3 != 0 && !Running.empty()) {
      finish(Running.front());
      Running.pop_front();
    }
    poll();
    Running.insert(Running.end(), m_Run.begin(), m_Run.end());
    m_Now += absl::Milliseconds(7);
  }
  EXPECT_GT(m_Admission.load(m_Now, 0).m_ShedLevel, 1.1F);
  EXPECT_EQ(m_Admission.load(m_Now, 1).m_ShedLevel, 0.0F);
}

TEST_F(AdmissionTest, Load_QueueDrained_ShedLevelFallsWithinASecond) {
  (void)offer(1);
  (void)offer(2);
  for (TicketId Id = 10; Id < 200; ++Id) {
    (void)offer(Id, model::Priority::Low);
    advance(absl::Milliseconds(10));
  }
  finish(1);
  finish(2);
  for (int Step = 0; Step < 100; ++Step) {
    poll();
    for (TicketId Id : m_Run)
      finish(Id);
    m_Now += absl::Milliseconds(10);
  }
  EXPECT_EQ(m_Admission.load(m_Now, 0).m_ShedLevel, 0.0F);
  EXPECT_EQ(m_Admission.nextEvent(), absl::InfiniteFuture());
}

TEST_F(AdmissionTest, Finish_ConsecutiveConnectionsLost_StartsTheRamp) {
  m_Admission = Admission({.m_InitialLimit = 16}, m_Now);
  std::deque<TicketId> Running;
  for (TicketId Id = 1; Id < 200; ++Id) {
    if (offer(Id).m_Verdict == Verdict::Run) {
      Running.push_back(Id);
      continue;
    }
    (void)m_Admission.cancel(Id, m_Now);
    m_Now += absl::Milliseconds(1);
    finish(Running.front());
    Running.pop_front();
  }
  ASSERT_GT(m_Admission.load(m_Now).m_Limit, 24);
  for (int Lost = 0; Lost < 3; ++Lost)
    finish(Running[Lost], RunOutcome::ConnectionLost);
  EXPECT_EQ(m_Admission.load(m_Now).m_Limit, 16);
  EXPECT_TRUE(m_Admission.load(m_Now).m_IsRamping);
}

} // namespace
} // namespace knapweedloft::policy
