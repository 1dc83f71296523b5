#include "http/HttpServer.h"

#include "RawSocket.h"

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <deque>

namespace knapweedloft::http {
namespace {

using testing::HasSubstr;
using testing::StartsWith;

/// A server whose exchanges the test takes and answers itself.
class HttpServerTest : public testing::Test {
protected:
  void start(HttpServer::Options Settings = {}) {
    Settings.m_Threads = 1;
    Settings.m_OnRequest = [this](HttpExchange Exchange) {
      absl::MutexLock Lock(&m_Mutex);
      m_Exchanges.push_back(std::move(Exchange));
    };
    m_Server = std::make_unique<HttpServer>(std::move(Settings));
  }

  /// Waits for the next whole request.
  HttpExchange take() {
    absl::MutexLock Lock(&m_Mutex);
    m_Mutex.Await(absl::Condition(
        +[](std::deque<HttpExchange> *All) { return !All->empty(); },
        &m_Exchanges));
    HttpExchange Exchange = std::move(m_Exchanges.front());
    m_Exchanges.pop_front();
    return Exchange;
  }

  std::size_t taken() {
    absl::MutexLock Lock(&m_Mutex);
    return m_Exchanges.size();
  }

  RawSocket connectAndSend(std::string_view Bytes) {
    RawSocket Caller = RawSocket::connectTo(m_Server->port());
    Caller.sendAll(Bytes);
    return Caller;
  }

  absl::Mutex m_Mutex;
  std::deque<HttpExchange> m_Exchanges;
  std::unique_ptr<HttpServer> m_Server;
};

constexpr std::string_view PlainGet = "GET /a?b=%20 HTTP/1.1\r\nHost: x\r\n"
                                      "X-One: 1\r\n\r\n";

TEST_F(HttpServerTest, Request_WithQuery_ArrivesAsSent) {
  start();
  RawSocket Caller =
      connectAndSend("POST /a/%2F?b=%20 HTTP/1.1\r\nHost: x\r\nX-One: 1\r\n"
                     "Content-Length: 3\r\n\r\nabc");
  HttpExchange Exchange = take();
  EXPECT_EQ(Exchange.request().m_Method, "POST");
  EXPECT_EQ(Exchange.request().m_Path, "/a/%2F?b=%20");
  EXPECT_EQ(Exchange.request().m_Body, "abc");
  EXPECT_EQ(*findHeader(Exchange.request().m_Headers, "x-one"), "1");
  EXPECT_TRUE(Exchange.isFromLoopback());
}

TEST_F(HttpServerTest, Answer_FromAnotherThread_IsSentWhole) {
  start();
  RawSocket Caller = connectAndSend(PlainGet);
  HttpExchange Exchange = take();
  EXPECT_EQ(m_Server->pending(), 1U);
  EXPECT_TRUE(Exchange.answer({201, {{"X-Two", "2"}}, "whole"}));
  EXPECT_FALSE(Exchange.answer({200, {}, "second"}));
  std::string Answer = Caller.readUntil("whole");
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 201"));
  EXPECT_THAT(Answer, HasSubstr("X-Two: 2\r\n"));
  EXPECT_THAT(Answer, HasSubstr("Content-Length: 5\r\n"));
}

TEST_F(HttpServerTest, Pipelined_AnsweredInTurn_KeepsOrder) {
  start();
  RawSocket Caller = connectAndSend(std::string(PlainGet) +
                                    "GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
  HttpExchange First = take();
  EXPECT_EQ(taken(), 0U);
  First.answer({200, {}, "first-body"});
  HttpExchange Second = take();
  EXPECT_EQ(Second.request().m_Path, "/second");
  Second.answer({200, {}, "second-body"});
  EXPECT_THAT(Caller.readUntil("first-body"), HasSubstr("first-body"));
  EXPECT_THAT(Caller.readUntil("second-body"), HasSubstr("second-body"));
}

TEST_F(HttpServerTest, HangUp_WhileAnswerAwaited_RunsHookAndRefusesAnswer) {
  start();
  RawSocket Caller = connectAndSend(PlainGet);
  HttpExchange Exchange = take();
  absl::Notification HungUp;
  Exchange.onHangUp([&] { HungUp.Notify(); });
  Caller.closeNow();
  HungUp.WaitForNotification();
  EXPECT_FALSE(Exchange.answer({}));
  absl::Notification Late;
  Exchange.onHangUp([&] { Late.Notify(); });
  EXPECT_TRUE(Late.HasBeenNotified());
}

TEST_F(HttpServerTest, Exchange_DroppedUnanswered_Answers500) {
  start();
  RawSocket Caller = connectAndSend(PlainGet);
  { HttpExchange Dropped = take(); }
  std::string Answer = Caller.readUntil("}");
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 500"));
  EXPECT_THAT(Answer, HasSubstr(R"("ran":"unknown")"));
}

TEST_F(HttpServerTest, Body_DeclaredPastLimit_Answers413) {
  start({.m_MaxBodyBytes = 4});
  RawSocket Caller = connectAndSend("POST / HTTP/1.1\r\nHost: x\r\n"
                                    "Content-Length: 5\r\n\r\n12345");
  std::string Answer = Caller.readUntil("}");
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 413"));
  EXPECT_THAT(Answer, HasSubstr("application/problem+json"));
  EXPECT_THAT(Answer, HasSubstr(R"("reason":"body-too-large","ran":"no")"));
  EXPECT_EQ(taken(), 0U);
}

TEST_F(HttpServerTest, Body_ChunkedPastLimit_Answers413AndKeepsConnection) {
  start({.m_MaxBodyBytes = 4});
  RawSocket Caller = connectAndSend(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n");
  EXPECT_THAT(Caller.readUntil("}"), StartsWith("HTTP/1.1 413"));
  Caller.sendAll(PlainGet);
  EXPECT_EQ(take().request().m_Path, "/a?b=%20");
}

TEST_F(HttpServerTest, Body_ChunkedWithoutEnd_ClosesConnection) {
  start({.m_MaxBodyBytes = 4});
  RawSocket Caller = connectAndSend(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  while (Caller.sendAll("4\r\nabcd\r\n"))
    continue;
  EXPECT_EQ(taken(), 0U);
}

TEST_F(HttpServerTest, Header_PastLimit_Answers431) {
  start({.m_MaxHeaderBytes = 1024});
  RawSocket Caller = connectAndSend("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " +
                                    std::string(1100, 'x') + "\r\n\r\n");
  std::string Answer = Caller.readUntil("}");
  EXPECT_THAT(Answer, StartsWith("HTTP/1.1 431"));
  EXPECT_THAT(Answer, HasSubstr(R"("ran":"no")"));
  EXPECT_EQ(taken(), 0U);
}

TEST_F(HttpServerTest, Framing_LengthAndChunked_Answers400) {
  start();
  RawSocket Caller =
      connectAndSend("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_THAT(Caller.readUntil("}"), StartsWith("HTTP/1.1 400"));
  EXPECT_EQ(taken(), 0U);
}

TEST_F(HttpServerTest, Head_WithDeclaredLength_KeepsItWithoutBody) {
  start();
  RawSocket Caller = connectAndSend("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n" +
                                    std::string(PlainGet));
  take().answer({200, {{"Content-Length", "42"}}, ""});
  std::string Answer = Caller.readUntil("\r\n\r\n");
  EXPECT_THAT(Answer, HasSubstr("Content-Length: 42\r\n"));
  take().answer({200, {}, "next"});
  EXPECT_THAT(Caller.readUntil("next"), StartsWith("HTTP/1.1 200"));
}

TEST_F(HttpServerTest, Quiesce_RequestInFlight_AnswersAndCloses) {
  start();
  RawSocket Caller = connectAndSend(PlainGet);
  HttpExchange Exchange = take();
  m_Server->quiesce();
  Exchange.answer({200, {}, "done"});
  std::string Answer = Caller.readToEnd();
  EXPECT_THAT(Answer, HasSubstr("Connection: close\r\n"));
  EXPECT_TRUE(Answer.ends_with("done"));
}

TEST_F(HttpServerTest, SlowSender_OnOnlyThread_HoldsNobodyUpAndIsClosed) {
  start({.m_IdleTimeout = absl::Seconds(1)});
  RawSocket Slow = connectAndSend("GET /slow HTTP/1.1\r\nHost: x\r\nX-Drip: ");
  RawSocket Caller = connectAndSend(PlainGet);
  take().answer({200, {}, "done"});
  EXPECT_THAT(Caller.readUntil("done"), HasSubstr("done"));
  // Each byte restarts an idle timeout; only a limit on the whole ends this.
  while (Slow.sendAll("x") && !Slow.isReadable())
    absl::SleepFor(absl::Milliseconds(50));
  EXPECT_EQ(taken(), 0U);
}

// Guards against a busy connection that is closed because each read ends inside
// a request, though each request comes quickly.
TEST_F(HttpServerTest, ReadsEndInsideRequests_PastATransfersTime_StaysOpen) {
  constexpr absl::Duration IdleTimeout = absl::Seconds(2);
  // A whole request or answer may take two idle timeouts.
  constexpr absl::Duration BusyFor = absl::Seconds(5);
  constexpr absl::Duration Gap = absl::Milliseconds(50);
  start({.m_IdleTimeout = IdleTimeout});
  constexpr std::size_t Cut = 9;
  RawSocket Caller = connectAndSend(PlainGet.substr(0, Cut));
  for (absl::Duration Busy; Busy < BusyFor; Busy += Gap) {
    std::string Piece(PlainGet.substr(Cut));
    ASSERT_TRUE(Caller.sendAll(Piece.append(PlainGet.substr(0, Cut))));
    take().answer({200, {}, "done"});
    ASSERT_THAT(Caller.readUntil("done"), HasSubstr("done"));
    absl::SleepFor(Gap);
  }
}

// Guards against limits of the caller's time that run while its answer is made.
TEST_F(HttpServerTest, Answer_TakesLongerThanEveryLimit_IsSent) {
  start({.m_IdleTimeout = absl::Seconds(1)});
  RawSocket Caller = connectAndSend(PlainGet);
  HttpExchange Exchange = take();
  absl::SleepFor(absl::Seconds(3));
  EXPECT_TRUE(Exchange.answer({200, {}, "done"}));
  EXPECT_THAT(Caller.readUntil("done"), HasSubstr("done"));
}

TEST_F(HttpServerTest, SlowReader_OnOnlyThread_HoldsNobodyUp) {
  start();
  RawSocket Slow = connectAndSend(PlainGet);
  constexpr std::size_t MoreThanBuffers = 32 << 20;
  take().answer({200, {}, std::string(MoreThanBuffers, 'x')});
  RawSocket Caller = connectAndSend(PlainGet);
  take().answer({200, {}, "done"});
  EXPECT_THAT(Caller.readUntil("done"), HasSubstr("done"));
  // The count of the second falls just after its last byte went out.
  while (m_Server->pending() > 1)
    absl::SleepFor(absl::Milliseconds(1));
  EXPECT_EQ(m_Server->pending(), 1U);
  EXPECT_GT(Slow.readUntil("\r\n\r\n").size(), 0U);
}

TEST_F(HttpServerTest, Destroy_AnswerAwaited_RunsHookAndLaterAnswerIsRefused) {
  start();
  RawSocket Caller = connectAndSend(PlainGet);
  HttpExchange Exchange = take();
  absl::Notification HungUp;
  Exchange.onHangUp([&] { HungUp.Notify(); });
  m_Server.reset();
  EXPECT_TRUE(HungUp.HasBeenNotified());
  EXPECT_FALSE(Exchange.answer({}));
  EXPECT_EQ(Caller.readToEnd(), "");
}

} // namespace
} // namespace knapweedloft::http
