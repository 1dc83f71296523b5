#include "policy/FairQueue.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>

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

TEST_F(FairQueueTest, Front_CriticalAfterLow_ServesCriticalFirst) {
  push(0, model::Priority::Low, 3);
  push(1, model::Priority::Critical, 1);
  EXPECT_EQ(serve().m_Priority, model::Priority::Critical);
}

TEST_F(FairQueueTest, Serve_OneCustomerSendsFiveTimesAsMuch_SharesEvenly) {
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

TEST_F(FairQueueTest, Serve_CustomerWasIdle_GetsNoCredit) {
  push(0, model::Priority::Normal, 30);
  serveMany(20);
  push(1, model::Priority::Normal, 10);
  EXPECT_LE(serveMany(10)[1], 6);
}

TEST_F(FairQueueTest, Push_Full_RefusesAndOffersLongestLowFlowToEvict) {
  push(0, model::Priority::Normal, 40);
  push(1, model::Priority::Low, 20);
  push(2, model::Priority::Low, 4);
  Ticket Extra{.m_Id = 1000, .m_Priority = model::Priority::High};
  EXPECT_FALSE(m_Queue.push(Extra, m_Now));
  auto Evicted = m_Queue.evictionCandidate(Extra);
  ASSERT_TRUE(Evicted);
  EXPECT_EQ(m_Queue.at(*Evicted).m_Ticket.m_Customer, 1U);
}

TEST_F(FairQueueTest, EvictionCandidate_OwnFlowIsLongest_IsNothing) {
  push(0, model::Priority::Low, 64);
  Ticket Extra{.m_Id = 1000, .m_Priority = model::Priority::Low};
  EXPECT_FALSE(m_Queue.evictionCandidate(Extra));
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

TEST_F(FairQueueTest, Front_RandomServesAndRemoves_HasMinimumStartOfAllQueued) {
  constexpr std::uint32_t Customers = 40;
  std::mt19937 Random(7);
  FairQueue Queue({.m_Capacity = 256});
  std::array<double, Customers> Finish{};
  std::map<TicketId, FairQueue::Position> Positions;
  std::array<std::deque<TicketId>, Customers> Queued;
  double VirtualTime = 0;
  TicketId Id = 0;
  auto StartOf = [&](std::uint32_t Customer) {
    return std::max(VirtualTime, Finish[Customer]);
  };
  for (int Step = 0; Step < 20000; ++Step) {
    std::uint32_t Customer = Random() % Customers;
    float Weight = 1 + static_cast<float>(Customer % 4);
    if (Random() % 2 == 0) {
      auto Pushed = Queue.push(
          {.m_Id = ++Id, .m_Customer = Customer, .m_Weight = Weight}, m_Now);
      if (!Pushed)
        continue;
      Positions[Id] = *Pushed;
      Queued[Customer].push_back(Id);
    } else if (Random() % 4 == 0 && !Queued[Customer].empty()) {
      Queue.remove(Positions[Queued[Customer].back()]);
      Queued[Customer].pop_back();
    } else if (auto Next = Queue.front()) {
      Ticket Served = Queue.at(*Next).m_Ticket;
      for (std::uint32_t Other = 0; Other < Customers; ++Other)
        if (!Queued[Other].empty()) {
          ASSERT_LE(StartOf(Served.m_Customer), StartOf(Other));
        }
      ASSERT_EQ(Served.m_Id, Queued[Served.m_Customer].front());
      Queued[Served.m_Customer].pop_front();
      VirtualTime = StartOf(Served.m_Customer);
      Finish[Served.m_Customer] =
          VirtualTime + 1 / static_cast<double>(Served.m_Weight);
      Queue.serve(*Next);
    }
  }
}

} // namespace
} // namespace knapweedloft::policy
