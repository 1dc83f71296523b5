#include "LoopFixture.h"
#include "http/HttpClient.h"
#include "model/NameTable.h"

#include "fmt/format.h"

#include <cstdint>
#include <string>
#include <thread>
#include <tuple>

namespace knapweedloft::http {
namespace {

constexpr const char *IdField = "Call-Id";

/// When a target sends the copy of an earlier refusal.
enum class CopyMoment : std::uint8_t {
  BehindTheRefusal, ///< In the same write.
  BeforeTheNext,    ///< While the connection is idle.
  InPlaceOfTheNext, ///< When the next request was read, before its answer.
  AndThenEnds       ///< As before, and no answer follows.
};

inline constexpr model::NameTable<CopyMoment, 4> CopyMomentNames{
    {"BehindTheRefusal", "BeforeTheNext", "InPlaceOfTheNext", "AndThenEnds"}};

/// Status of the refusal; whether the refusal and its copy name their request.
using Case = std::tuple<int, bool, bool, CopyMoment>;

std::string nameOf(const Case &Which) {
  auto [Status, IsNamed, IsCopyNamed, When] = Which;
  return fmt::format("{}{}{}_{}", Status, IsNamed ? "Named" : "Unnamed",
                     IsCopyNamed ? "CopyNamed" : "CopyUnnamed",
                     CopyMomentNames.nameOf(When));
}

/// A target that refuses one request and sends the refusal once more.
class RefusalCopyTest : public LoopFixture,
                        public testing::WithParamInterface<Case> {
protected:
  static std::string refusal(bool IsNamed) {
    return fmt::format("HTTP/1.1 {} Refused\r\n{}Not-Run: 1\r\n"
                       "Content-Length: 0\r\n\r\n",
                       std::get<0>(GetParam()),
                       IsNamed ? fmt::format("{}: 1\r\n", IdField) : "");
  }

  /// \returns the number of the request, or 0 after the last.
  static int readRequest(const RawSocket &Caller) {
    std::string Request = Caller.readUntil("\r\n\r\n");
    std::size_t From = Request.find('/');
    return From == std::string::npos ? 0 : std::stoi(Request.substr(From + 1));
  }

  static std::string ownAnswer() {
    return fmt::format("HTTP/1.1 200 OK\r\n{}: 2\r\nContent-Length: 3\r\n\r\n"
                       "own",
                       IdField);
  }

  void runTarget(const RawSocket &Listener) {
    auto [Status, IsNamed, IsCopyNamed, When] = GetParam();
    RawSocket First = Listener.acceptOne();
    (void)readRequest(First);
    std::string Copy = refusal(IsCopyNamed);
    if (When == CopyMoment::BehindTheRefusal) {
      First.sendAll(refusal(IsNamed) + Copy);
    } else {
      First.sendAll(refusal(IsNamed));
    }
    m_IsFirstAnswered.WaitForNotification();
    if (When == CopyMoment::BeforeTheNext)
      First.sendAll(Copy);
    m_MaySendNext.Notify();
    // The next request comes on the same connection or on another.
    while (!First.isReadable() && !Listener.isReadable())
      (void)First.awaitInput(1);
    bool IsSame = First.isReadable() && readRequest(First) == 2;
    if (!IsSame) {
      RawSocket Second = Listener.acceptOne();
      (void)readRequest(Second);
      Second.sendAll(ownAnswer());
      return;
    }
    if (When == CopyMoment::InPlaceOfTheNext || When == CopyMoment::AndThenEnds)
      First.sendAll(Copy);
    if (When != CopyMoment::AndThenEnds)
      First.sendAll(ownAnswer());
  }

  HttpResult call(const char *Id, std::uint16_t Port) {
    HttpResult Seen;
    absl::Notification Done;
    onLoop([&] {
      m_Client->send({.m_To = {"127.0.0.1", Port},
                      .m_Text = fmt::format("GET /{} HTTP/1.1\r\n\r\n", Id),
                      .m_Tag = Id,
                      .m_Timeout = absl::Minutes(1)},
                     [&](HttpResult Result, absl::Time) {
                       Seen = std::move(Result);
                       Done.Notify();
                     });
    });
    Done.WaitForNotification();
    return Seen;
  }

  absl::Notification m_IsFirstAnswered;
  absl::Notification m_MaySendNext;
};

// Guards against "not run" for a request that the target runs: a copy of an
// earlier refusal is no answer to it.
TEST_P(RefusalCopyTest, LoopClient_CopyOfARefusal_IsNoAnswerToTheNext) {
  RawSocket Listener = RawSocket::listenAnywhere();
  std::thread Target([&] { runTarget(Listener); });
  onLoop([this] {
    m_Client = std::make_unique<LoopClient>(
        m_Loop,
        LoopClient::Options{
            .m_IsOwn =
                [](const HttpResponse &Response, const std::string &Own) {
                  const std::string *Id =
                      findHeader(Response.m_Headers, IdField);
                  return Id == nullptr || *Id == Own;
                },
            .m_IsNamed =
                [](const HttpResponse &Response) {
                  return findHeader(Response.m_Headers, IdField) != nullptr;
                }});
  });
  EXPECT_EQ(call("1", Listener.port()).m_Response.m_Status,
            std::get<0>(GetParam()));
  m_IsFirstAnswered.Notify();
  m_MaySendNext.WaitForNotification();
  HttpResult Next = call("2", Listener.port());
  Target.join();
  if (Next.m_Failure != Failure::Cut) {
    EXPECT_EQ(Next.m_Failure, Failure::None);
    EXPECT_EQ(Next.m_Response.m_Body, "own");
  }
}

// The same for the daemon that stands alone, as far as an answer without a name
// can be told from another: until the next request is written.
TEST_P(RefusalCopyTest, HttpClient_CopyBeforeTheNext_IsNoAnswerToTheNext) {
  CopyMoment When = std::get<3>(GetParam());
  if (When != CopyMoment::BehindTheRefusal && When != CopyMoment::BeforeTheNext)
    return;
  RawSocket Listener = RawSocket::listenAnywhere();
  std::thread Target([&] { runTarget(Listener); });
  HttpClient Client({});
  auto Call = [&](const char *Path) {
    HttpResult Seen;
    absl::Notification Done;
    Client.send(fmt::format("http://127.0.0.1:{}", Listener.port()),
                {"GET", Path, {}, ""}, absl::Minutes(1),
                [&](HttpResult Result) {
                  Seen = std::move(Result);
                  Done.Notify();
                });
    Done.WaitForNotification();
    return Seen;
  };
  EXPECT_EQ(Call("/1").m_Response.m_Status, std::get<0>(GetParam()));
  m_IsFirstAnswered.Notify();
  m_MaySendNext.WaitForNotification();
  HttpResult Next = Call("/2");
  Target.join();
  if (Next.m_Failure != Failure::Cut) {
    EXPECT_EQ(Next.m_Failure, Failure::None);
    EXPECT_EQ(Next.m_Response.m_Body, "own");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Copies, RefusalCopyTest,
    testing::Combine(
        testing::Values(429, 503, 421, 408), testing::Bool(), testing::Bool(),
        testing::Values(CopyMoment::BehindTheRefusal, CopyMoment::BeforeTheNext,
                        CopyMoment::InPlaceOfTheNext, CopyMoment::AndThenEnds)),
    [](const auto &Info) { return nameOf(Info.param); });

} // namespace
} // namespace knapweedloft::http
