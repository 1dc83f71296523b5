#include "TestPeer.h"

#include "gtest/gtest.h"

namespace knapweedloft::link {
namespace {

class LinkNodeTest : public testing::Test {};

TEST_F(LinkNodeTest, Connect_TwoNodes_BothUpWithTheOthersMember) {
  TestPeer A("a", 1);
  TestPeer B("b", 2);
  A.m_Node.connect(B.m_Node.endpoint());
  EXPECT_EQ(A.waitUp(1).m_Name, "b");
  model::Member Peer = B.waitUp(1);
  EXPECT_EQ(Peer.m_Name, "a");
  EXPECT_EQ(Peer.m_Incarnation, 1U);
  EXPECT_EQ(Peer.m_Link, A.m_Node.endpoint());
}

TEST_F(LinkNodeTest, Send_ManyMessages_ArriveWholeAndInOrder) {
  TestPeer A("a", 1);
  TestPeer B("b", 2);
  A.m_Node.connect(B.m_Node.endpoint());
  A.waitUp(1);
  B.waitUp(1);
  constexpr std::uint64_t Count = 2000;
  for (std::uint64_t Sequence = 0; Sequence < Count; ++Sequence)
    ASSERT_TRUE(A.sendForward(Sequence, 1000));
  auto Seen = B.waitForwards(Count);
  for (std::uint64_t Sequence = 0; Sequence < Count; ++Sequence)
    ASSERT_EQ(Seen[Sequence], Sequence);
}

} // namespace
} // namespace knapweedloft::link
