#include "app/PeerTable.h"

#include "gtest/gtest.h"

namespace knapweedloft::app {
namespace {

class PeerTableTest : public testing::Test {
protected:
  static model::Member member(model::Incarnation Life) {
    model::Member Who;
    Who.m_Name = "a-1";
    Who.m_Incarnation = Life;
    Who.m_Link = {"127.0.0.1", 7400};
    return Who;
  }

  absl::Time m_Now = absl::UnixEpoch() + absl::Hours(1);
  int m_Connects = 0;
  PeerTable m_Peers{
      {.m_Connect = [this](const model::Endpoint &) { ++m_Connects; }}};
};

TEST_F(PeerTableTest, Want_DialUnderWay_IsNotRepeated) {
  m_Peers.want(member(1), m_Now);
  m_Peers.want(member(1), m_Now);
  EXPECT_EQ(m_Connects, 1);
}

TEST_F(PeerTableTest, Want_AfterFailure_WaitsForTheBackoff) {
  m_Peers.want(member(1), m_Now);
  m_Peers.onConnectFailed({"127.0.0.1", 7400}, m_Now);
  m_Peers.want(member(1), m_Now);
  EXPECT_EQ(m_Connects, 1);
  m_Peers.want(member(1), m_Now + absl::Seconds(1));
  EXPECT_EQ(m_Connects, 2);
}

TEST_F(PeerTableTest, Find_OtherIncarnation_IsNotTakenForThisOne) {
  m_Peers.onUp({3}, member(1));
  EXPECT_TRUE(m_Peers.find("a-1", 1).isValid());
  EXPECT_FALSE(m_Peers.find("a-1", 2).isValid());
}

TEST_F(PeerTableTest, OnDown_OlderOfTwoLinks_NewerStaysInUse) {
  m_Peers.onUp({3}, member(1));
  m_Peers.onUp({4}, member(1));
  EXPECT_FALSE(m_Peers.onDown({3}));
  EXPECT_EQ(m_Peers.find("a-1"), link::PeerHandle{4});
}

TEST_F(PeerTableTest, OnDown_NewerOfTwoLinks_OlderIsTakenBack) {
  m_Peers.onUp({3}, member(1));
  m_Peers.onUp({4}, member(1));
  EXPECT_FALSE(m_Peers.onDown({4}));
  EXPECT_EQ(m_Peers.find("a-1"), link::PeerHandle{3});
  EXPECT_TRUE(m_Peers.onDown({3}));
  EXPECT_FALSE(m_Peers.find("a-1").isValid());
}

} // namespace
} // namespace knapweedloft::app
