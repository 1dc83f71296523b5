#include "EnvelopeCodec.h"
#include "Greeting.h"
#include "MessageAge.h"
#include "RawSocket.h"
#include "TestPeer.h"

#include "gtest/gtest.h"

#include <thread>
#include <vector>

namespace knapweedloft::link {
namespace {

std::string helloFrame(model::Incarnation Life) {
  model::Member Self;
  Self.m_Name = "raw";
  Self.m_Incarnation = Life;
  wire::EnvelopeT Envelope;
  Envelope.message.Set(helloOf(Self, absl::UnixEpoch()));
  return encodeFrame(Envelope);
}

std::string forwardFrame(std::uint64_t Sequence) {
  wire::EnvelopeT Envelope;
  wire::ForwardT Forward;
  Forward.id = wire::ForwardId(1, Sequence);
  Envelope.message.Set(std::move(Forward));
  return encodeFrame(Envelope);
}

/// What a peer may send without an end, and what may be lost of it.
class LinkBoundsTest : public testing::Test {
protected:
  static LinkNode::Options bounded() {
    LinkNode::Options Settings = TestPeer::optionsFor("a", 1);
    Settings.m_SilentAfter = absl::Seconds(30);
    Settings.m_MaxFrameBytes = 64 << 20;
    Settings.m_MaxHeldBytes = 1 << 20;
    return Settings;
  }

  /// \returns the bytes that the node took before it closed.
  static std::size_t sendFrameWithoutEnd(const RawSocket &Peer) {
    Peer.write(std::string("\0\0\0\3", 4)); // 48 MB follow.
    const std::string Part(std::size_t{64} << 10, 'x');
    std::size_t Sent = 0;
    while (Sent < MaxSentBytes) {
      ssize_t Count =
          ::send(Peer.get(), Part.data(), Part.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        break;
      Sent += static_cast<std::size_t>(Count);
    }
    return Sent;
  }

  static constexpr std::size_t MaxSentBytes = 40 << 20;
  TestPeer m_Node{bounded()};
};

// Guards against memory that the frames of many peers take.
TEST_F(LinkBoundsTest, Frames_OfManyPeersNotWhole_AreBoundedTogether) {
  constexpr std::size_t Peers = 8;
  std::vector<RawSocket> Sockets;
  for (std::size_t Index = 0; Index < Peers; ++Index) {
    Sockets.push_back(RawSocket::connect(m_Node.m_Node.endpoint()));
    Sockets.back().write(helloFrame(10 + Index));
  }
  m_Node.waitUp(Peers);
  std::vector<std::size_t> Sent(Peers);
  std::vector<std::thread> Threads;
  for (std::size_t Index = 0; Index < Peers; ++Index)
    Threads.emplace_back(
        [&, Index] { Sent[Index] = sendFrameWithoutEnd(Sockets[Index]); });
  for (std::thread &Peer : Threads)
    Peer.join();
  for (std::size_t Bytes : Sent)
    EXPECT_LT(Bytes, MaxSentBytes);
  EXPECT_EQ(m_Node.waitDown(Peers).m_Reason, LinkEnd::Malformed);
}

// Guards against bytes without an end of a peer that says no Hello.
TEST_F(LinkBoundsTest, Bytes_BeforeHello_EndTheConnection) {
  RawSocket Peer = RawSocket::connect(m_Node.m_Node.endpoint());
  EXPECT_LT(sendFrameWithoutEnd(Peer), MaxSentBytes);
}

// Guards against a message that a cut link leaves in part.
TEST_F(LinkBoundsTest, Frame_CutAnywhere_IsNotTaken) {
  const std::string Frame = forwardFrame(7);
  for (std::size_t Bytes = 0; Bytes < Frame.size(); Bytes += 3) {
    RawSocket Peer = RawSocket::connect(m_Node.m_Node.endpoint());
    Peer.write(helloFrame(9) + forwardFrame(1) + Frame.substr(0, Bytes));
  }
  std::size_t Links = (Frame.size() + 2) / 3;
  m_Node.waitDown(Links);
  EXPECT_EQ(m_Node.waitForwards(Links),
            std::vector<std::uint64_t>(Links, std::uint64_t{1}));
}

/// The two clocks differ by a constant.
class MessageAgeTest : public testing::Test {
protected:
  void beat(absl::Duration Delay = absl::Milliseconds(2)) {
    m_SentAt = m_Now;
    m_Now += Delay;
    m_Age.onHeartbeat(m_SentAt - ClockDifference, m_Now);
  }

  [[nodiscard]] absl::Duration age(absl::Duration HeldUp = {}) const {
    return m_Age.leastAge(m_Now, HeldUp, Interval);
  }

  static constexpr absl::Duration Interval = absl::Milliseconds(500);
  static constexpr absl::Duration ClockDifference = absl::Hours(7);
  absl::Time m_Now = absl::FromUnixSeconds(1000);
  absl::Time m_SentAt;
  MessageAge m_Age;
};

TEST_F(MessageAgeTest, LeastAge_NothingDelayed_IsZero) {
  EXPECT_EQ(age(absl::Seconds(9)), absl::ZeroDuration());
  for (int Count = 0; Count < 100; ++Count) {
    beat(absl::Milliseconds(2 + Count % 7));
    m_Now += Interval;
    EXPECT_EQ(age(), absl::ZeroDuration());
  }
}

TEST_F(MessageAgeTest, LeastAge_ThisProcessWasPaused_CountsThePause) {
  beat();
  m_Now += absl::Seconds(4);
  EXPECT_EQ(age(absl::Seconds(4)), absl::Seconds(4) - Interval);
}

TEST_F(MessageAgeTest, LeastAge_PeerWasPaused_CountsNothing) {
  beat();
  m_Now += absl::Seconds(4);
  EXPECT_EQ(age(), absl::ZeroDuration());
}

TEST_F(MessageAgeTest, LeastAge_HeartbeatWasDelayed_MessagesBehindItWere) {
  beat();
  m_Now += Interval;
  beat(absl::Seconds(3));
  EXPECT_EQ(age(), absl::Seconds(3) - absl::Milliseconds(2) - Interval);
  m_Now += Interval;
  beat();
  EXPECT_EQ(age(), absl::ZeroDuration());
}

TEST_F(MessageAgeTest, LeastAge_ClocksDriftApart_IsZero) {
  for (int Count = 0; Count < 100'000; ++Count) {
    m_Now += Interval;
    m_Age.onHeartbeat(m_Now - ClockDifference - Count * absl::Microseconds(100),
                      m_Now);
    ASSERT_EQ(age(), absl::ZeroDuration());
  }
}

} // namespace
} // namespace knapweedloft::link
