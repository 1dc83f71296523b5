#include "LoopFixture.h"

namespace knapweedloft::http {
namespace {

/// A server that is to end while callers send.
class ServerClosingTest : public LoopFixture {
protected:
  ServerClosingTest() { serve(); }

  std::uint16_t port() {
    std::uint16_t Port = 0;
    onLoop([&] { Port = m_Server->port(); });
    return Port;
  }

  static constexpr const char *Request = "GET / HTTP/1.1\r\n\r\n";
};

// Guards against a kept connection that is closed under a caller's request.
TEST_F(ServerClosingTest, BeginClosing_IdleConnection_AnswersItsNextRequest) {
  RawSocket Caller = RawSocket::connectTo(port());
  Caller.sendAll(Request);
  answer(taken(0), "first");
  (void)Caller.readUntil("first");
  onLoop([&] { m_Server->beginClosing(); });
  Caller.sendAll(Request);
  answer(taken(1), "last");
  std::string Text = Caller.readToEnd();
  EXPECT_NE(Text.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(Text.ends_with("last")) << Text;
}

// Guards against requests that the kernel has accepted and nobody reads.
TEST_F(ServerClosingTest, EndIdle_RequestsWaitInTheSockets_AreHandedOver) {
  RawSocket Kept = RawSocket::connectTo(port());
  Kept.sendAll(Request);
  answer(taken(0), "first");
  (void)Kept.readUntil("first");
  std::uint16_t Port = port();
  std::unique_ptr<RawSocket> New;
  onLoop([&] {
    Kept.sendAll(Request);
    New = std::make_unique<RawSocket>(RawSocket::connectTo(Port));
    New->sendAll(Request);
    m_Server->beginClosing();
    m_Server->endIdle();
    EXPECT_FALSE(m_Server->isIdle());
  });
  answer(taken(1), "last");
  answer(taken(2), "last");
  EXPECT_TRUE(Kept.readToEnd().ends_with("last"));
  EXPECT_TRUE(New->readToEnd().ends_with("last"));
}

TEST_F(ServerClosingTest, EndIdle_NothingWaits_ConnectionsEndInOrder) {
  RawSocket Caller = RawSocket::connectTo(port());
  Caller.sendAll(Request);
  answer(taken(0), "first");
  (void)Caller.readUntil("first");
  onLoop([&] { m_Server->endIdle(); });
  EXPECT_EQ(Caller.readToEnd(), "");
}

// Guards against a reset, by bytes behind it, of an answer on its way.
TEST_F(ServerClosingTest, Answer_CallerSendsOnBehind_IsReadWhole) {
  const std::string Large(4 << 20, 'x');
  RawSocket Caller = RawSocket::connectTo(port());
  Caller.sendAll("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  Taken First = taken(0);
  onLoop([&] {
    m_Server->answer(First.m_Id, {.m_Body = Large});
    Caller.sendAll(Request);
  });
  Caller.sendAll(Request);
  std::string Text = Caller.readToEnd();
  EXPECT_EQ(Text.size() - Text.find("\r\n\r\n") - 4, Large.size());
}

TEST_F(ServerClosingTest, Linger_CallerNeverCloses_IsClosedInTime) {
  LoopServer::Options Options;
  Options.m_Limits.m_LingerTimeout = absl::Milliseconds(1);
  serve(std::move(Options));
  RawSocket Caller = RawSocket::connectTo(port());
  Caller.sendAll("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  answer(taken(0), "last");
  EXPECT_TRUE(Caller.readToEnd().ends_with("last"));
  while (Caller.sendAll("x")) {
  }
  onLoop([&] { EXPECT_EQ(m_Server->connections(), 0U); });
}

} // namespace
} // namespace knapweedloft::http
