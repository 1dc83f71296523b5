#include "EnvelopeCodec.h"
#include "FrameBuffer.h"
#include "Greeting.h"
#include "RawSocket.h"
#include "SilentForwarder.h"
#include "TestPeer.h"

#include "gtest/gtest.h"

namespace knapweedloft::link {
namespace {

/// Far more than fit into the limit of silence; ends a test that would hang.
constexpr int MaxExchanges = 1'000'000;

std::string helloFrame(model::Incarnation Life) {
  model::Member Self;
  Self.m_Name = "raw";
  Self.m_Incarnation = Life;
  wire::EnvelopeT Envelope;
  Envelope.message.Set(helloOf(Self, absl::UnixEpoch()));
  return encodeFrame(Envelope);
}

class LinkFaultTest : public testing::Test {
protected:
  TestPeer m_Node{"a", 1};
};

TEST_F(LinkFaultTest, Silence_NothingArrives_BothEndsReportIt) {
  TestPeer Other("b", 2);
  SilentForwarder Between(Other.m_Node.endpoint());
  m_Node.m_Node.connect(Between.endpoint());
  m_Node.waitUp(1);
  Other.waitUp(1);
  Between.dropToServer();
  Between.dropToClient();
  EXPECT_EQ(m_Node.waitDown().m_Reason, LinkEnd::Silent);
  EXPECT_EQ(Other.waitDown().m_Reason, LinkEnd::Silent);
}

TEST_F(LinkFaultTest, Silence_HeartbeatsNeverAcknowledged_EndsAsSilent) {
  RawSocket Peer = RawSocket::connect(m_Node.m_Node.endpoint());
  Peer.write(helloFrame(9));
  wire::EnvelopeT Beat;
  Beat.message.Set(wire::HeartbeatT());
  std::string Frame = encodeFrame(Beat);
  int Exchanges = 0;
  while (!Peer.read().empty() && ++Exchanges < MaxExchanges)
    Peer.write(Frame);
  ASSERT_LT(Exchanges, MaxExchanges);
  EXPECT_EQ(m_Node.waitDown().m_Reason, LinkEnd::Silent);
}

TEST_F(LinkFaultTest, Silence_OneLinkOfTwo_OtherStaysUp) {
  TestPeer Other("b", 2);
  SilentForwarder Between(Other.m_Node.endpoint());
  m_Node.m_Node.connect(Between.endpoint());
  m_Node.waitUp(1);
  m_Node.m_Node.connect(Other.m_Node.endpoint());
  m_Node.waitUp(2);
  Between.dropToClient();
  Between.dropToServer();
  EXPECT_EQ(m_Node.waitDown().m_Link, m_Node.link(0));
  wire::CancelT Message;
  EXPECT_FALSE(m_Node.m_Node.send(m_Node.link(0), Message));
  EXPECT_TRUE(m_Node.m_Node.send(m_Node.link(1), Message));
}

TEST_F(LinkFaultTest, Connect_BothAtOnce_TwoLinksComeUp) {
  TestPeer Other("b", 2);
  m_Node.m_Node.connect(Other.m_Node.endpoint());
  Other.m_Node.connect(m_Node.m_Node.endpoint());
  m_Node.waitUp(2);
  Other.waitUp(2);
  EXPECT_NE(m_Node.link(0), m_Node.link(1));
}

TEST_F(LinkFaultTest, Connect_NobodyListens_ReportsRefused) {
  model::Endpoint Gone = RawSocket::listen().endpoint();
  m_Node.m_Node.connect(Gone);
  EXPECT_EQ(m_Node.waitConnectFailed(), LinkEnd::Refused);
}

TEST_F(LinkFaultTest, Connect_PeerSaysNothing_ReportsSilent) {
  LinkNode::Options Settings = TestPeer::optionsFor("c", 3);
  Settings.m_ConnectTimeout = absl::Milliseconds(50);
  TestPeer Impatient(Settings);
  RawSocket Mute = RawSocket::listen();
  Impatient.m_Node.connect(Mute.endpoint());
  EXPECT_EQ(Impatient.waitConnectFailed(), LinkEnd::Silent);
}

TEST_F(LinkFaultTest, Connect_ToItself_ReportsRefused) {
  m_Node.m_Node.connect(m_Node.m_Node.endpoint());
  EXPECT_EQ(m_Node.waitConnectFailed(), LinkEnd::Refused);
}

TEST_F(LinkFaultTest, Frame_LongerThanAllowed_EndsAsMalformed) {
  RawSocket Peer = RawSocket::connect(m_Node.m_Node.endpoint());
  Peer.write(helloFrame(9));
  m_Node.waitUp(1);
  Peer.write("\xff\xff\xff\x7f");
  EXPECT_EQ(m_Node.waitDown().m_Reason, LinkEnd::Malformed);
  Peer.readToEnd();
}

TEST_F(LinkFaultTest, Frame_Garbage_EndsAsMalformed) {
  RawSocket Peer = RawSocket::connect(m_Node.m_Node.endpoint());
  Peer.write(helloFrame(9));
  m_Node.waitUp(1);
  Peer.write(std::string("\x10\0\0\0", 4) + std::string(16, '\x5a'));
  EXPECT_EQ(m_Node.waitDown().m_Reason, LinkEnd::Malformed);
}

TEST_F(LinkFaultTest, Frame_BeforeHelloOrSecondHello_IsNotTaken) {
  RawSocket Early = RawSocket::connect(m_Node.m_Node.endpoint());
  wire::EnvelopeT Envelope;
  Envelope.message.Set(wire::ForwardT());
  Early.write(encodeFrame(Envelope));
  Early.readToEnd();
  RawSocket Twice = RawSocket::connect(m_Node.m_Node.endpoint());
  Twice.write(helloFrame(9) + helloFrame(9));
  EXPECT_EQ(m_Node.waitDown().m_Reason, LinkEnd::Malformed);
}

TEST_F(LinkFaultTest, Send_PeerNeverReads_QueueIsBoundedAndLinkEnds) {
  LinkNode::Options Settings = TestPeer::optionsFor("c", 3);
  Settings.m_MaxQueuedBytes = 1 << 20;
  TestPeer Sender(Settings);
  RawSocket Deaf = RawSocket::connect(Sender.m_Node.endpoint());
  Deaf.write(helloFrame(9));
  Sender.waitUp(1);
  // The kernel's buffers take some; a bounded queue refuses before long.
  std::size_t Taken = 0;
  while (Sender.sendForward(Taken, FrameBuffer::ReadBytes) && Taken < 10'000)
    ++Taken;
  EXPECT_LT(Taken, 10'000U);
  EXPECT_EQ(Sender.waitDown().m_Reason, LinkEnd::Silent);
}

TEST_F(LinkFaultTest, Accept_MoreThanAllowed_ClosesTheNewOne) {
  LinkNode::Options Settings = TestPeer::optionsFor("c", 3);
  Settings.m_MaxLinks = 1;
  TestPeer Small(Settings);
  RawSocket First = RawSocket::connect(Small.m_Node.endpoint());
  First.write(helloFrame(9));
  Small.waitUp(1);
  RawSocket::connect(Small.m_Node.endpoint()).readToEnd();
  EXPECT_TRUE(Small.sendForward(1, 1));
}

TEST_F(LinkFaultTest, Heartbeat_LinkUp_CarriesOffsetSequenceAndClock) {
  TestPeer Other("b", 2);
  m_Node.m_Node.connect(Other.m_Node.endpoint());
  wire::HeartbeatT Beat = m_Node.waitHeartbeats(2);
  EXPECT_EQ(Beat.applied_offset, 7U);
  EXPECT_GE(Beat.sequence, 2U);
  EXPECT_GT(Beat.now_us, 0U);
}

TEST_F(LinkFaultTest, Post_WithDelays_RunsInOrderOfTheirDueTimes) {
  absl::Mutex Mutex;
  std::string Order;
  auto Note = [&](char Which) {
    return [&Mutex, &Order, Which] {
      absl::MutexLock Lock(&Mutex);
      Order.push_back(Which);
    };
  };
  m_Node.m_Node.post(Note('c'), absl::Milliseconds(20));
  m_Node.m_Node.post(Note('b'), absl::Milliseconds(10));
  m_Node.m_Node.post(Note('a'));
  absl::MutexLock Lock(&Mutex);
  auto IsDone = [&] { return Order.size() == 3; };
  Mutex.Await(absl::Condition(&IsDone));
  EXPECT_EQ(Order, "abc");
}

} // namespace
} // namespace knapweedloft::link
