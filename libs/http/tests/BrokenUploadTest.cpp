#include "LoopFixture.h"

#include <array>
#include <string>
#include <tuple>

namespace knapweedloft::http {
namespace {

enum class Connection : std::uint8_t { New, Kept };

/// How a target ends a connection on which a request is still being written.
enum class End : std::uint8_t {
  Reset,
  CloseUnread, ///< Closes without having read the request: a reset too.
  Orderly,
  OrderlyThenReset
};

/// What a target sends before that, and what makes it a whole answer.
struct EarlyAnswer {
  enum class Needs : std::uint8_t { Nothing, OrderlyEnd, MoreBytes };

  const char *m_Name;
  std::string m_Head;
  std::string m_Body;
  Needs m_Needs;
};

/// A target that answers an upload early and ends the connection, while the
/// client has bytes left to write. The client's loop rests meanwhile, so that
/// it sees the answer and the end together and writes before it reads.
class BrokenUploadTest : public LoopFixture,
                         public testing::WithParamInterface<
                             std::tuple<Connection, End, EarlyAnswer>> {
protected:
  /// More than the buffers of both sockets take.
  static constexpr std::size_t UploadBytes = std::size_t{64} << 20;

  BrokenUploadTest() {
    onLoop([this] {
      m_Client = std::make_unique<LoopClient>(m_Loop, LoopClient::Options{});
    });
    if (std::get<Connection>(GetParam()) == Connection::Kept) {
      send("GET /first HTTP/1.1\r\n\r\n");
      accept();
      m_Target.sendAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      m_Done->WaitForNotification();
    }
  }

  /// Sends \p Text over the client; m_Result has the outcome.
  void send(std::string Text) {
    m_Done = std::make_unique<absl::Notification>();
    onLoop([&] {
      m_Client->send({.m_To = {"127.0.0.1", m_Listener.port()},
                      .m_Text = std::move(Text),
                      .m_Timeout = absl::Minutes(1)},
                     [this](HttpResult Result, absl::Time) {
                       m_Result = std::move(Result);
                       m_Done->Notify();
                     });
    });
  }

  void accept() {
    if (!m_Target.isOpen())
      m_Target = m_Listener.acceptOne();
    ASSERT_NE(m_Target.readUntil("\r\n\r\n"), "");
  }

  /// Sends an upload that gets the answer \p Early.
  void upload(const EarlyAnswer &Early) {
    send("POST /upload HTTP/1.1\r\nContent-Length: " +
         std::to_string(UploadBytes) + "\r\n\r\n" +
         std::string(UploadBytes, 'x'));
    accept();
    absl::Notification Resting;
    absl::Notification Ended;
    m_Loop.post([&] {
      Resting.Notify();
      Ended.WaitForNotification();
    });
    Resting.WaitForNotification();
    m_Target.sendAll(Early.m_Head + Early.m_Body);
    endConnection();
    Ended.Notify();
    m_Done->WaitForNotification();
  }

  RawSocket m_Listener = RawSocket::listenAnywhere();
  RawSocket m_Target{-1};
  std::unique_ptr<absl::Notification> m_Done;
  HttpResult m_Result;

private:
  void endConnection() {
    switch (std::get<End>(GetParam())) {
    case End::Reset:
      return m_Target.reset();
    case End::CloseUnread:
      return m_Target.closeNow();
    case End::Orderly:
      return m_Target.endWriting();
    case End::OrderlyThenReset:
      m_Target.endWriting();
      return m_Target.reset();
    }
  }
};

// Guards against a part of an answer that passes for all of it, as a reset that
// the write of the request met would read as an orderly end, and against the
// loss of an answer that came whole before the break.
TEST_P(BrokenUploadTest, Client_EarlyAnswer_IsCompleteIfItsOwnEndCame) {
  const EarlyAnswer &Early = std::get<EarlyAnswer>(GetParam());
  bool IsOrderly = std::get<End>(GetParam()) >= End::Orderly;
  upload(Early);
  bool IsWhole = Early.m_Needs == EarlyAnswer::Needs::Nothing ||
                 (Early.m_Needs == EarlyAnswer::Needs::OrderlyEnd && IsOrderly);
  ASSERT_EQ(m_Result.m_Failure, IsWhole ? Failure::None : Failure::Cut);
  if (IsWhole) {
    EXPECT_EQ(m_Result.m_Response.m_Body, Early.m_Body);
  }
}

std::string
nameOfCase(const testing::TestParamInfo<BrokenUploadTest::ParamType> &Info) {
  constexpr std::array<const char *, 4> Ends{"Reset", "CloseUnread", "Orderly",
                                             "OrderlyThenReset"};
  bool IsNew = std::get<Connection>(Info.param) == Connection::New;
  return std::string(IsNew ? "New" : "Kept") +
         Ends[static_cast<std::size_t>(std::get<End>(Info.param))] +
         std::get<EarlyAnswer>(Info.param).m_Name;
}

INSTANTIATE_TEST_SUITE_P(
    Ends, BrokenUploadTest,
    testing::Combine(
        testing::Values(Connection::New, Connection::Kept),
        testing::Values(End::Reset, End::CloseUnread, End::Orderly,
                        End::OrderlyThenReset),
        testing::Values(
            EarlyAnswer{"WithoutLength", "HTTP/1.1 200 OK\r\n\r\n", "part",
                        EarlyAnswer::Needs::OrderlyEnd},
            EarlyAnswer{"WithoutLengthOrBody", "HTTP/1.1 200 OK\r\n\r\n", "",
                        EarlyAnswer::Needs::OrderlyEnd},
            EarlyAnswer{"OldVersion", "HTTP/1.0 200 OK\r\n\r\n", "part",
                        EarlyAnswer::Needs::OrderlyEnd},
            EarlyAnswer{"BehindInterim",
                        "HTTP/1.1 100 Continue\r\n\r\n"
                        "HTTP/1.1 200 OK\r\n\r\n",
                        "part", EarlyAnswer::Needs::OrderlyEnd},
            EarlyAnswer{"Whole",
                        "HTTP/1.1 413 Content Too Large\r\n"
                        "Content-Length: 5\r\n\r\n",
                        "whole", EarlyAnswer::Needs::Nothing},
            EarlyAnswer{"WholeChunks",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                        "\r\n0\r\n\r\n",
                        "", EarlyAnswer::Needs::Nothing},
            EarlyAnswer{"ShortOfLength",
                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "part",
                        EarlyAnswer::Needs::MoreBytes})),
    nameOfCase);

} // namespace
} // namespace knapweedloft::http
