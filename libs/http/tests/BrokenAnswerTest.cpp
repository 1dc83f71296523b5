#include "LoopFixture.h"
#include "http/MessageParser.h"

#include <thread>

namespace knapweedloft::http {
namespace {

/// An answer, and whether the end of its connection ends it.
struct Form {
  const char *m_Name;
  std::string m_Bytes;
  bool m_EndsWithConnection;
};

/// A target that breaks its answer off after each of its bytes.
class BrokenAnswerTest : public LoopFixture,
                         public testing::WithParamInterface<Form> {
protected:
  Failure callCutAfter(std::size_t Bytes, bool IsReset) {
    RawSocket Listener = RawSocket::listenAnywhere();
    Failure Seen = Failure::None;
    absl::Notification Done;
    onLoop([&] {
      m_Client = std::make_unique<LoopClient>(m_Loop, LoopClient::Options{});
      m_Client->send({.m_To = {"127.0.0.1", Listener.port()},
                      .m_Text = "GET / HTTP/1.1\r\n\r\n"},
                     [&](const HttpResult &Result, absl::Time) {
                       Seen = Result.m_Failure;
                       Done.Notify();
                     });
    });
    RawSocket Caller = Listener.acceptOne();
    (void)Caller.readUntil("\r\n\r\n");
    Caller.sendAll(std::string_view(GetParam().m_Bytes).substr(0, Bytes));
    if (IsReset)
      Caller.reset();
    else
      Caller.closeNow();
    Done.WaitForNotification();
    return Seen;
  }
};

// Guards against a part of an answer that passes for all of it.
TEST_P(BrokenAnswerTest, Client_AnswerBreaksOff_IsNeverComplete) {
  std::size_t HeadBytes = GetParam().m_Bytes.find("\r\n\r\n") + 4;
  for (std::size_t Bytes = 0; Bytes < GetParam().m_Bytes.size(); ++Bytes) {
    EXPECT_EQ(callCutAfter(Bytes, true), Failure::Cut) << Bytes;
    bool IsWhole = GetParam().m_EndsWithConnection && Bytes >= HeadBytes;
    EXPECT_EQ(callCutAfter(Bytes, false),
              IsWhole ? Failure::None : Failure::Cut)
        << Bytes;
  }
}

TEST_P(BrokenAnswerTest, Client_AnswerIsReset_AlsoAtItsEnd) {
  Failure Seen = callCutAfter(GetParam().m_Bytes.size(), true);
  if (GetParam().m_EndsWithConnection) {
    EXPECT_EQ(Seen, Failure::Cut);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Forms, BrokenAnswerTest,
    testing::Values(
        Form{"Length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             false},
        Form{"Chunks",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
             false},
        Form{"Trailers",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nwhole\r\n0\r\nX: y\r\n\r\n",
             false},
        Form{"Interim",
             "HTTP/1.1 100 Continue\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             false},
        Form{"WithoutLength", "HTTP/1.1 200 OK\r\n\r\nwhole", true}),
    [](const auto &Info) { return Info.param.m_Name; });

// Guards against an answer to a caller that could end early unseen.
TEST(AnswerTextTest, AppendResponse_AnyPart_IsNoWholeAnswer) {
  std::string Text;
  appendResponse(Text, 200, "X: y\r\n", "whole", true, false);
  for (std::size_t Bytes = 0; Bytes < Text.size(); ++Bytes) {
    MessageParser Parser(MessageKind::Response, {});
    Parser.feed(std::string_view(Text).substr(0, Bytes));
    Parser.feedEnd();
    EXPECT_FALSE(Parser.hasMessage()) << Bytes;
  }
}

} // namespace
} // namespace knapweedloft::http
