#include "TestPeer.h"

#include "link/LinkNode.h"

#include "gtest/gtest.h"

namespace knapweedloft::link {
namespace {

class LinkPaceTest : public testing::Test {
protected:
  LinkPaceTest() {
    m_Left.m_Node.connect(m_Right.m_Node.endpoint());
    m_Left.waitUp(1);
    m_Right.waitUp(1);
  }

  /// Waits for \p Count more heartbeats that carry content.
  /// \returns how many heartbeats the peer has sent by then.
  std::uint64_t sequenceAfter(std::size_t Count) {
    m_Seen += Count;
    return m_Right.waitHeartbeat(m_Seen - 1).sequence;
  }

  TestPeer m_Left{"left", 1};
  TestPeer m_Right{"right", 2};
  std::size_t m_Seen = 0;
};

TEST_F(LinkPaceTest, SetPace_BothRelaxed_MostHeartbeatsAreBare) {
  m_Left.m_Node.setPace(m_Left.link(), LinkPace::Relaxed);
  m_Right.m_Node.setPace(m_Right.link(), LinkPace::Relaxed);
  // Full heartbeats may still be on their way.
  std::uint64_t First = sequenceAfter(8);
  std::uint64_t Last = sequenceAfter(4);
  EXPECT_EQ(Last - First, 16U);
}

TEST_F(LinkPaceTest, SetPace_OnlyOneRelaxed_EveryHeartbeatIsFull) {
  m_Left.m_Node.setPace(m_Left.link(), LinkPace::Relaxed);
  std::uint64_t First = sequenceAfter(8);
  std::uint64_t Last = sequenceAfter(4);
  EXPECT_EQ(Last - First, 4U);
}

} // namespace
} // namespace knapweedloft::link
