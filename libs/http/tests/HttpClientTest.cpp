#include "http/HttpClient.h"

#include "RawSocket.h"

#include "absl/synchronization/notification.h"
#include "fmt/format.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace knapweedloft::http {
namespace {

using testing::HasSubstr;
using testing::Not;

/// A call under way.
struct Call {
  HttpClient::CallId m_Id = 0;
  HttpResult m_Result;
  absl::Notification m_Done;
};

/// A client whose calls the test itself answers, byte by byte.
class HttpClientTest : public testing::Test {
protected:
  std::unique_ptr<Call> send(HttpRequest Request,
                             absl::Duration Timeout = absl::Minutes(1)) {
    auto Result = std::make_unique<Call>();
    Result->m_Id = m_Client->send(m_Base, std::move(Request), Timeout,
                                  [Pointer = Result.get()](HttpResult Answer) {
                                    Pointer->m_Result = std::move(Answer);
                                    Pointer->m_Done.Notify();
                                  });
    return Result;
  }

  static Failure failureOf(Call &Waiting) {
    Waiting.m_Done.WaitForNotification();
    return Waiting.m_Result.m_Failure;
  }

  RawSocket m_Listener = RawSocket::listenAnywhere();
  std::string m_Base = fmt::format("http://127.0.0.1:{}", m_Listener.port());
  std::unique_ptr<HttpClient> m_Client =
      std::make_unique<HttpClient>(HttpClient::Options{.m_MaxBodyBytes = 64});
};

constexpr std::string_view Whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

TEST_F(HttpClientTest, Send_WithBody_PassesBytesAsGiven) {
  auto Waiting = send({"PUT",
                       "/a/../b?c=%2f",
                       {{"X-One", "1"}, {"X-Empty", ""}},
                       std::string("b\0dy", 4)});
  RawSocket Server = m_Listener.acceptOne();
  std::string Request = Server.readUntil("dy");
  EXPECT_THAT(Request, HasSubstr("PUT /a/../b?c=%2f HTTP/1.1\r\n"));
  EXPECT_THAT(Request, HasSubstr("X-One: 1\r\n"));
  EXPECT_THAT(Request, HasSubstr("X-Empty:\r\n"));
  EXPECT_THAT(Request, HasSubstr("Content-Length: 4\r\n"));
  EXPECT_THAT(Request, Not(HasSubstr("Expect")));
  EXPECT_THAT(Request, Not(HasSubstr("Content-Type")));
  Server.sendAll("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
                 "X-Two: 2\r\nContent-Length: 2\r\n\r\nok");
  ASSERT_EQ(failureOf(*Waiting), Failure::None);
  EXPECT_EQ(Waiting->m_Result.m_Response.m_Status, 201);
  EXPECT_EQ(Waiting->m_Result.m_Response.m_Body, "ok");
  EXPECT_EQ(*findHeader(Waiting->m_Result.m_Response.m_Headers, "x-two"), "2");
}

TEST_F(HttpClientTest, Send_SecondCall_UsesKeptConnection) {
  auto First = send({"GET", "/1", {}, ""});
  RawSocket Server = m_Listener.acceptOne();
  EXPECT_THAT(Server.readUntil("\r\n\r\n"), HasSubstr("GET /1"));
  Server.sendAll(Whole);
  ASSERT_EQ(failureOf(*First), Failure::None);
  auto Second = send({"GET", "/2", {}, ""});
  EXPECT_THAT(Server.readUntil("\r\n\r\n"), HasSubstr("GET /2"));
  Server.sendAll(Whole);
  EXPECT_EQ(failureOf(*Second), Failure::None);
}

TEST_F(HttpClientTest, Post_KeptConnectionBreaksAfterSending_IsSeenOnce) {
  auto First = send({"GET", "/", {}, ""});
  RawSocket Server = m_Listener.acceptOne();
  ASSERT_THAT(Server.readUntil("\r\n\r\n"), HasSubstr("GET"));
  Server.sendAll(Whole);
  ASSERT_EQ(failureOf(*First), Failure::None);
  auto Second = send({"POST", "/pay", {}, "once"}, absl::Seconds(20));
  ASSERT_THAT(Server.readUntil("once"), HasSubstr("POST /pay"));
  Server.closeNow();
  EXPECT_EQ(failureOf(*Second), Failure::Cut);
  // The client may have connected anew; no request may come there.
  m_Client.reset();
  while (m_Listener.isReadable())
    EXPECT_EQ(m_Listener.acceptOne().readToEnd(), "");
}

TEST_F(HttpClientTest, Post_KeptConnectionClosedWhileIdle_GoesOverNewOne) {
  auto First = send({"GET", "/", {}, ""});
  {
    RawSocket Server = m_Listener.acceptOne();
    ASSERT_THAT(Server.readUntil("\r\n\r\n"), HasSubstr("GET"));
    Server.sendAll(Whole);
    ASSERT_EQ(failureOf(*First), Failure::None);
  }
  auto Second = send({"POST", "/pay", {}, "once"});
  RawSocket Server = m_Listener.acceptOne();
  ASSERT_THAT(Server.readUntil("once"), HasSubstr("POST /pay"));
  Server.sendAll(Whole);
  EXPECT_EQ(failureOf(*Second), Failure::None);
}

TEST_F(HttpClientTest, Send_MoreThanConnections_WaitsForOne) {
  m_Client =
      std::make_unique<HttpClient>(HttpClient::Options{.m_MaxConnections = 1});
  auto First = send({"GET", "/1", {}, ""});
  auto Second = send({"GET", "/2", {}, ""});
  RawSocket Server = m_Listener.acceptOne();
  EXPECT_THAT(Server.readUntil("\r\n\r\n"), HasSubstr("GET /1"));
  EXPECT_FALSE(m_Listener.isReadable());
  Server.sendAll(Whole);
  EXPECT_EQ(failureOf(*First), Failure::None);
  EXPECT_THAT(Server.readUntil("\r\n\r\n"), HasSubstr("GET /2"));
  Server.sendAll(Whole);
  EXPECT_EQ(failureOf(*Second), Failure::None);
}

TEST_F(HttpClientTest, Send_NoConnectionInTime_IsNotSent) {
  m_Client =
      std::make_unique<HttpClient>(HttpClient::Options{.m_MaxConnections = 1});
  auto First = send({"GET", "/1", {}, ""});
  auto Late = send({"GET", "/2", {}, ""}, absl::Milliseconds(30));
  auto Stopped = send({"GET", "/3", {}, ""});
  m_Client->cancel(Stopped->m_Id);
  EXPECT_EQ(failureOf(*Late), Failure::NotSent);
  EXPECT_EQ(failureOf(*Stopped), Failure::Cancelled);
  RawSocket Server = m_Listener.acceptOne();
  EXPECT_THAT(Server.readUntil("\r\n\r\n"), HasSubstr("GET /1"));
  Server.sendAll(Whole);
  EXPECT_EQ(failureOf(*First), Failure::None);
}

TEST_F(HttpClientTest, Connect_Refused_IsNotSent) {
  m_Listener.closeNow();
  EXPECT_EQ(failureOf(*send({"GET", "/", {}, ""})), Failure::NotSent);
}

TEST_F(HttpClientTest, Request_WithLineBreakInHeader_IsNotSent) {
  auto Waiting = send({"GET", "/", {{"X", "1\r\nY: 2"}}, ""});
  EXPECT_EQ(failureOf(*Waiting), Failure::NotSent);
  EXPECT_FALSE(m_Listener.isReadable());
}

TEST_F(HttpClientTest, Timeout_NoAnswer_IsTimedOut) {
  auto Waiting = send({"GET", "/", {}, ""}, absl::Milliseconds(50));
  RawSocket Server = m_Listener.acceptOne();
  EXPECT_EQ(failureOf(*Waiting), Failure::TimedOut);
}

TEST_F(HttpClientTest, Cancel_AnswerAwaited_ClosesConnection) {
  auto Waiting = send({"GET", "/", {}, ""});
  RawSocket Server = m_Listener.acceptOne();
  ASSERT_THAT(Server.readUntil("\r\n\r\n"), HasSubstr("GET"));
  m_Client->cancel(Waiting->m_Id);
  EXPECT_EQ(failureOf(*Waiting), Failure::Cancelled);
  EXPECT_EQ(Server.readToEnd(), "");
}

/// What a server sends before it closes, and what it means.
struct AnswerCase {
  std::string_view m_Name;
  std::string_view m_Bytes;
  Failure m_Expected;
};

class HttpClientAnswerTest : public HttpClientTest,
                             public testing::WithParamInterface<AnswerCase> {};

TEST_P(HttpClientAnswerTest, Answer_ThenClose_IsJudged) {
  auto Waiting = send({"POST", "/", {}, "x"});
  RawSocket Server = m_Listener.acceptOne();
  ASSERT_THAT(Server.readUntil("\r\n\r\nx"), HasSubstr("POST"));
  Server.sendAll(GetParam().m_Bytes);
  Server.closeNow();
  EXPECT_EQ(failureOf(*Waiting), GetParam().m_Expected);
}

INSTANTIATE_TEST_SUITE_P(
    Endings, HttpClientAnswerTest,
    testing::Values(
        AnswerCase{"Whole", Whole, Failure::None},
        AnswerCase{"WholeChunks",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nab\r\n0\r\n\r\n",
                   Failure::None},
        AnswerCase{"NoContent", "HTTP/1.1 204 No Content\r\n\r\n",
                   Failure::None},
        AnswerCase{"Nothing", "", Failure::Cut},
        AnswerCase{"HalfHeader", "HTTP/1.1 200 OK\r\nConte", Failure::Cut},
        AnswerCase{"ShortBody",
                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhol",
                   Failure::Cut},
        AnswerCase{"NoLastChunk",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nab\r\n",
                   Failure::Cut},
        AnswerCase{"BodyEndsWithConnection", "HTTP/1.1 200 OK\r\n\r\nwhole",
                   Failure::Cut},
        AnswerCase{"NotHttp", "SSH-2.0-x\r\n", Failure::Cut},
        AnswerCase{"TooLarge",
                   "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n"
                   "0123456789012345678901234567890123456789"
                   "0123456789012345678901234",
                   Failure::TooLarge}),
    [](const auto &Info) { return std::string(Info.param.m_Name); });

} // namespace
} // namespace knapweedloft::http
