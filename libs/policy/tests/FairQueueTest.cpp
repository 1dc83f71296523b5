#include "policy/FairQueue.h"

#include "gtest/gtest.h"

#include <array>

namespace knapweedloft::policy {
namespace {

class FairQueueTest : public testing::Test {
protected:
  void push(std::uint32_t Customer, model::Priority Priority, int Count,
            float Weight = 1) {
    for (int Index = 0; Index < Count; ++Index)
      ASSERT_TRUE(m_Queue.push({.m_Id = m_NextId++,
                                .m_Priority = Priority,
                                .m_Customer = Customer,
                                .m_Weight = Weight},
                               m_Now));
  }

  Ticket serve() {
    auto Next = m_Queue.front();
    Ticket Served = m_Queue.at(*Next).m_Ticket;
    m_Queue.serve(*Next);
    return Served;
  }

  std::array<int, 3> serveMany(int Count) {
    std::array<int, 3> Served{};
    for (int Index = 0; Index < Count; ++Index)
      ++Served[serve().m_Customer];
    return Served;
  }

  absl::Time m_Now = absl::UnixEpoch();
  TicketId m_NextId = 1;
  FairQueue m_Queue{{.m_Capacity = 64}};
};

TEST_F(FairQueueTest, Front_LowFirstThenCritical_ServesCriticalFirst) {
  push(0, model::Priority::Low, 3);
  push(1, model::Priority::Critical, 1);
  EXPECT_EQ(serve().m_Priority, model::Priority::Critical);
}

TEST_F(FairQueueTest, Serve_OneCustomerFiveTimesAsMany_SharesEvenly) {
  push(0, model::Priority::Normal, 40);
  push(1, model::Priority::Normal, 8);
  std::array<int, 3> Served = serveMany(16);
  EXPECT_EQ(Served[0], 8);
  EXPECT_EQ(Served[1], 8);
}

TEST_F(FairQueueTest, Serve_WeightsThreeToOne_SharesByWeight) {
  push(0, model::Priority::Normal, 30, 3);
  push(1, model::Priority::Normal, 30, 1);
  std::array<int, 3> Served = serveMany(20);
  EXPECT_EQ(Served[0], 15);
  EXPECT_EQ(Served[1], 5);
}

TEST_F(FairQueueTest, Serve_IdleCustomerComesBack_SavesUpNoCredit) {
  push(0, model::Priority::Normal, 30);
  serveMany(20);
  push(1, model::Priority::Normal, 10);
  EXPECT_LE(serveMany(10)[1], 6);
}

TEST_F(FairQueueTest, Push_Full_RefusesAndNamesLongestOfLeastPriority) {
  push(0, model::Priority::Normal, 40);
  push(1, model::Priority::Low, 20);
  push(2, model::Priority::Low, 4);
  Ticket Extra{.m_Id = 1000, .m_Priority = model::Priority::High};
  EXPECT_FALSE(m_Queue.push(Extra, m_Now));
  auto Victim = m_Queue.victimFor(Extra);
  ASSERT_TRUE(Victim);
  EXPECT_EQ(m_Queue.at(*Victim).m_Ticket.m_Customer, 1U);
}

TEST_F(FairQueueTest, VictimFor_OwnFlowIsLongest_IsNothing) {
  push(0, model::Priority::Low, 64);
  Ticket Extra{.m_Id = 1000, .m_Priority = model::Priority::Low};
  EXPECT_FALSE(m_Queue.victimFor(Extra));
}

TEST_F(FairQueueTest, Remove_MiddleOfFlow_KeepsTheRestInOrder) {
  push(0, model::Priority::Normal, 1);
  auto Middle = m_Queue.push({.m_Id = 50}, m_Now);
  push(0, model::Priority::Normal, 1);
  m_Queue.remove(*Middle);
  EXPECT_EQ(m_Queue.size(), 2U);
  EXPECT_EQ(serve().m_Id, 1U);
  EXPECT_EQ(serve().m_Id, 2U);
  EXPECT_FALSE(m_Queue.front());
}

} // namespace
} // namespace knapweedloft::policy
