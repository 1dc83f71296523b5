#include "LoopFixture.h"
#include "http/HttpClient.h"

#include "fmt/format.h"

#include <string>
#include <string_view>
#include <thread>

namespace knapweedloft::http {
namespace {

/// A target that ends its connection inside the head of its answer.
struct CutHead {
  const char *m_Name;
  const char *m_Head; ///< Whole, with its empty line.
  bool m_IsReset;     ///< Ends by a reset, not in order.
};

class CutHeadTest : public LoopFixture,
                    public testing::WithParamInterface<CutHead> {
protected:
  static std::string_view head() { return GetParam().m_Head; }

  /// Takes one request and sends the first \p Bytes of the head.
  static void runTarget(const RawSocket &Listener, std::size_t Bytes) {
    RawSocket Caller = Listener.acceptOne();
    (void)Caller.readUntil("\r\n\r\n");
    Caller.sendAll(head().substr(0, Bytes));
    if (GetParam().m_IsReset)
      Caller.reset();
  }

  static bool isSuccess(const HttpResult &Result) {
    return Result.m_Failure == Failure::None;
  }
};

// Guards against an empty answer where a target broke off inside its head: on
// the platform.
TEST_P(CutHeadTest, LoopClient_EndsAtAnyByte_IsNeverAnAnswer) {
  RawSocket Listener = RawSocket::listenAnywhere();
  onLoop([this] {
    m_Client = std::make_unique<LoopClient>(m_Loop, LoopClient::Options{});
  });
  for (std::size_t Bytes = 0; Bytes < head().size(); ++Bytes) {
    std::thread Target([&] { runTarget(Listener, Bytes); });
    HttpResult Seen;
    absl::Notification Done;
    onLoop([&] {
      m_Client->send({.m_To = {"127.0.0.1", Listener.port()},
                      .m_Text = "GET / HTTP/1.1\r\n\r\n",
                      .m_Timeout = absl::Minutes(1)},
                     [&](HttpResult Result, absl::Time) {
                       Seen = std::move(Result);
                       Done.Notify();
                     });
    });
    Done.WaitForNotification();
    Target.join();
    EXPECT_EQ(Seen.m_Failure, Failure::Cut) << "after " << Bytes << " bytes";
  }
}

// The same for the daemon that stands alone.
TEST_P(CutHeadTest, HttpClient_EndsAtAnyByte_IsNeverAnAnswer) {
  RawSocket Listener = RawSocket::listenAnywhere();
  HttpClient Client({});
  std::string Base = fmt::format("http://127.0.0.1:{}", Listener.port());
  for (std::size_t Bytes = 0; Bytes < head().size(); ++Bytes) {
    std::thread Target([&] { runTarget(Listener, Bytes); });
    HttpResult Seen;
    absl::Notification Done;
    Client.send(Base, {"GET", "/", {}, ""}, absl::Minutes(1),
                [&](HttpResult Result) {
                  Seen = std::move(Result);
                  Done.Notify();
                });
    Done.WaitForNotification();
    Target.join();
    EXPECT_EQ(Seen.m_Failure, Failure::Cut) << "after " << Bytes << " bytes";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Heads, CutHeadTest,
    testing::Values(
        CutHead{"Length",
                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nProof: x\r\n\r\n",
                false},
        CutHead{"LengthReset",
                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nProof: x\r\n\r\n",
                true},
        CutHead{"LengthOfNone",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nProof: x\r\n\r\n",
                false},
        CutHead{"NoLength", "HTTP/1.1 200 OK\r\nProof: x\r\n\r\n", false},
        CutHead{"NoLengthReset", "HTTP/1.1 200 OK\r\nProof: x\r\n\r\n", true},
        CutHead{"Chunks",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nProof: "
                "x\r\n\r\n",
                false},
        CutHead{"NoContent", "HTTP/1.1 204 No Content\r\nProof: x\r\n\r\n",
                false},
        CutHead{"AfterInterim",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                "Content-Length: 0\r\nProof: x\r\n\r\n",
                false}),
    [](const auto &Info) { return Info.param.m_Name; });

} // namespace
} // namespace knapweedloft::http
