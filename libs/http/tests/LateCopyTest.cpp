#include "LoopFixture.h"

#include "fmt/format.h"

#include <list>
#include <random>
#include <thread>

namespace knapweedloft::http {
namespace {

constexpr const char *IdField = "Call-Id";

/// A target that sends second copies of its answers, late: behind the answer,
/// in parts, while the connection is idle, or when it has read the next
/// request; with the id of the call or without.
class CopyingTarget {
public:
  explicit CopyingTarget(std::uint64_t Seed) : m_Seed(Seed) {
    m_Acceptor = std::thread([this] { accept(); });
  }

  ~CopyingTarget() {
    m_Listener.shutDown();
    m_Acceptor.join();
    for (std::thread &Each : m_Threads)
      Each.join();
  }

  [[nodiscard]] std::uint16_t port() const { return m_Listener.port(); }

private:
  void accept() {
    for (std::uint64_t Index = 1;; ++Index) {
      m_Sockets.push_back(m_Listener.acceptOne());
      if (!m_Sockets.back().isOpen())
        return;
      m_Threads.emplace_back(
          [Caller = &m_Sockets.back(), Seed = m_Seed * 1000 + Index] {
            talk(*Caller, Seed);
          });
    }
  }

  static std::string answerTo(const std::string &Id, bool IsNamed) {
    return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                       IsNamed ? fmt::format("{}: {}\r\n", IdField, Id) : "",
                       Id.size(), Id);
  }

  static void talk(const RawSocket &Caller, std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::string Former;
    while (true) {
      std::string Request = Caller.readUntil("\r\n\r\n");
      std::size_t From = Request.find('/');
      if (From == std::string::npos)
        return;
      std::string Id =
          Request.substr(From + 1, Request.find(' ', From) - From - 1);
      std::string Copy = answerTo(Former.empty() ? Id : Former, Random() % 2);
      std::string Own = answerTo(Id, true);
      std::size_t Cut = Random() % Copy.size();
      switch (Random() % 6) {
      case 0: // Behind the answer.
        Caller.sendAll(Own + answerTo(Id, Random() % 2));
        break;
      case 1: // A part behind the answer, the rest when it likes.
        Caller.sendAll(Own + Copy.substr(0, Cut));
        Caller.sendAll(Copy.substr(Cut));
        break;
      case 2: // While nobody waits.
        Caller.sendAll(Own);
        Caller.sendAll(Copy);
        break;
      case 3: // Where the next answer is due.
        if (!Former.empty())
          Caller.sendAll(Copy);
        Caller.sendAll(Own);
        break;
      default:
        Caller.sendAll(Own);
      }
      Former = Id;
    }
  }

  std::uint64_t m_Seed;
  RawSocket m_Listener = RawSocket::listenAnywhere();
  std::list<RawSocket> m_Sockets;
  std::list<std::thread> m_Threads;
  std::thread m_Acceptor;
};

class LateCopyTest : public LoopFixture,
                     public testing::WithParamInterface<std::uint64_t> {
protected:
  static constexpr unsigned Calls = 400;
  static constexpr unsigned Chains = 3;

  void makeClient() {
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
  }

  /// Each answer begins the next call, at once or after the sockets were read.
  void call(std::uint16_t Port) {
    std::string Id = fmt::format("{}", ++m_Begun);
    m_Client->send({.m_To = {"127.0.0.1", Port},
                    .m_Text = requestText({.m_Method = "GET",
                                           .m_Path = "/" + Id,
                                           .m_Headers = {{"Host", "x"}}}),
                    .m_Tag = Id,
                    .m_Timeout = absl::Minutes(1)},
                   [this, Port, Id](const HttpResult &Result, absl::Time) {
                     onDone(Port, Id, Result);
                   });
  }

  void onDone(std::uint16_t Port, const std::string &Id,
              const HttpResult &Result) {
    bool IsAnswered = Result.m_Failure == Failure::None;
    m_Answered += IsAnswered;
    m_Foreign += IsAnswered && Result.m_Response.m_Body != Id;
    ++m_Ended;
    if (m_Begun < Calls) {
      if (m_Random() % 2)
        m_Loop.post([this, Port] { call(Port); });
      else
        call(Port);
    } else if (m_Ended == Calls) {
      m_Done.Notify();
    }
  }

  std::mt19937_64 m_Random{GetParam()};
  unsigned m_Begun = 0;
  unsigned m_Ended = 0;
  unsigned m_Answered = 0;
  unsigned m_Foreign = 0;
  absl::Notification m_Done;
};

// Guards against a caller that gets the answer of another.
TEST_P(LateCopyTest, Client_SecondCopiesComeLate_NoCallTakesThem) {
  CopyingTarget Target(GetParam());
  onLoop([&] {
    makeClient();
    for (unsigned Chain = 0; Chain < Chains; ++Chain)
      call(Target.port());
  });
  m_Done.WaitForNotification();
  EXPECT_EQ(m_Foreign, 0U);
  EXPECT_GT(m_Answered, Calls / 2);
  onLoop([this] { m_Client.reset(); });
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateCopyTest,
                         testing::Range(std::uint64_t{1}, std::uint64_t{21}));

class ReuseTest : public LateCopyTest {};

// Guards against a health check whose copy passes for the answer to a request.
TEST_P(ReuseTest, Client_CallWithoutTagEnded_ConnectionIsNotUsedForOthers) {
  RawSocket Listener = RawSocket::listenAnywhere();
  absl::Notification Checked;
  onLoop([&] {
    makeClient();
    m_Client->send({.m_To = {"127.0.0.1", Listener.port()},
                    .m_Text = "GET /health HTTP/1.1\r\n\r\n"},
                   [&](const HttpResult &, absl::Time) { Checked.Notify(); });
  });
  RawSocket First = Listener.acceptOne();
  (void)First.readUntil("\r\n\r\n");
  First.sendAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Checked.WaitForNotification();
  EXPECT_EQ(First.readToEnd(), "");
}

// Guards against a request that is written where the end already waits.
TEST_P(ReuseTest, Client_EndWaitsUnread_AnotherConnectionIsTaken) {
  RawSocket Listener = RawSocket::listenAnywhere();
  absl::Notification First;
  absl::Notification Second;
  auto Send = [&](const char *Tag, absl::Notification &Done) {
    m_Client->send({.m_To = {"127.0.0.1", Listener.port()},
                    .m_Text = "GET / HTTP/1.1\r\n\r\n",
                    .m_Tag = Tag},
                   [&](const HttpResult &Result, absl::Time) {
                     EXPECT_EQ(Result.m_Failure, Failure::None);
                     Done.Notify();
                   });
  };
  onLoop([&] {
    makeClient();
    Send("1", First);
  });
  RawSocket Kept = Listener.acceptOne();
  (void)Kept.readUntil("\r\n\r\n");
  Kept.sendAll("HTTP/1.1 200 OK\r\nCall-Id: 1\r\nContent-Length: 0\r\n\r\n");
  First.WaitForNotification();
  onLoop([&] {
    Kept.closeNow();
    Send("2", Second);
  });
  RawSocket Next = Listener.acceptOne();
  (void)Next.readUntil("\r\n\r\n");
  Next.sendAll("HTTP/1.1 200 OK\r\nCall-Id: 2\r\nContent-Length: 0\r\n\r\n");
  Second.WaitForNotification();
}

INSTANTIATE_TEST_SUITE_P(Once, ReuseTest, testing::Values(1));

} // namespace
} // namespace knapweedloft::http
