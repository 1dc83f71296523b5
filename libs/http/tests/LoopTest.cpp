#include "RawSocket.h"
#include "http/LoopClient.h"
#include "http/LoopServer.h"
#include "http/MessageText.h"
#include "io/EventLoop.h"

#include "absl/synchronization/notification.h"
#include "gtest/gtest.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace knapweedloft::http {
namespace {

/// A server and a client on one loop of their own thread; whatever touches
/// them is done there.
class LoopTest : public testing::Test {
protected:
  LoopTest() { m_Loop.start("test"); }

  ~LoopTest() override {
    onLoop([this] {
      m_Client.reset();
      m_Server.reset();
    });
    m_Loop.stop();
  }

  void onLoop(const std::function<void()> &Task) {
    absl::Notification Done;
    m_Loop.post([&] {
      Task();
      Done.Notify();
    });
    Done.WaitForNotification();
  }

  /// A server that answers by hand if \p Handle is null, else by it.
  void serve(std::function<HttpResponse(const ParsedMessage &)> Handle) {
    onLoop([&] {
      LoopServer::Options Options;
      Options.m_At = {"127.0.0.1", 0};
      Options.m_Limits.m_MaxBodyBytes = 1000;
      Options.m_Hooks.m_OnRequest = [this, Handle](ExchangeId Id,
                                                   const ParsedMessage &Message,
                                                   const std::string &) {
        m_Ids.push_back(Id);
        if (Handle)
          m_Server->answer(Id, Handle(Message));
        if (m_Ids.size() >= m_AwaitedRequests)
          notifyOnce(m_Arrived);
      };
      Options.m_Hooks.m_OnGone = [this](ExchangeId, CallerConnectionEnd) {
        ++m_Gone;
        notifyOnce(m_Left);
      };
      m_Server = std::make_unique<LoopServer>(m_Loop, std::move(Options));
    });
  }

  static void notifyOnce(absl::Notification &What) {
    if (!What.HasBeenNotified())
      What.Notify();
  }

  HttpResult call(const std::string &Path, const std::string &Tag = "") {
    HttpResult Seen;
    absl::Notification Done;
    m_Loop.post([&] {
      if (!m_Client)
        m_Client = std::make_unique<LoopClient>(
            m_Loop,
            LoopClient::Options{.m_IsOwn = [](const HttpResponse &Response,
                                              const std::string &Own) {
              const std::string *Told =
                  findHeader(Response.m_Headers, "Call-Id");
              return Told == nullptr || *Told == Own;
            }});
      m_Client->send({.m_To = {"127.0.0.1", m_Port},
                      .m_Text = requestText({.m_Method = "GET",
                                             .m_Path = Path,
                                             .m_Headers = {{"Host", "x"}}}),
                      .m_Tag = Tag,
                      .m_Timeout = absl::Seconds(5)},
                     [&](HttpResult Result, absl::Time) {
                       Seen = std::move(Result);
                       Done.Notify();
                     });
    });
    Done.WaitForNotification();
    return Seen;
  }

  io::EventLoop m_Loop;
  std::unique_ptr<LoopServer> m_Server;
  std::unique_ptr<LoopClient> m_Client;
  std::uint16_t m_Port = 0;
  std::size_t m_AwaitedRequests = 1;
  std::vector<ExchangeId> m_Ids;
  int m_Gone = 0;
  absl::Notification m_Arrived;
  absl::Notification m_Left;
};

TEST_F(LoopTest, Server_PipelinedRequests_AnsweredInOrder) {
  m_AwaitedRequests = 2;
  serve(nullptr);
  RawSocket Caller = RawSocket::connectTo(m_Server->port());
  Caller.sendAll("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  m_Arrived.WaitForNotification();
  onLoop([this] {
    m_Server->answer(m_Ids[1], {.m_Body = "second"});
    m_Server->answer(m_Ids[0], {.m_Body = "first"});
  });
  std::string Text = Caller.readUntil("second");
  EXPECT_LT(Text.find("first"), Text.find("second"));
}

TEST_F(LoopTest, Server_CallerLeaves_RequestIsGivenUp) {
  serve(nullptr);
  {
    RawSocket Caller = RawSocket::connectTo(m_Server->port());
    Caller.sendAll("GET / HTTP/1.1\r\n\r\n");
    m_Arrived.WaitForNotification();
  }
  m_Left.WaitForNotification();
  EXPECT_EQ(m_Gone, 1);
  onLoop([this] {
    m_Server->answer(m_Ids[0], {});
    EXPECT_EQ(m_Server->pending(), 0U);
  });
}

// Guards against a daemon ended by a caller that resets while it is answered.
TEST_F(LoopTest, Server_CallerResetsDuringAnswer_TellsOnlyAfterwards) {
  m_AwaitedRequests = 2;
  serve(nullptr);
  RawSocket Caller = RawSocket::connectTo(m_Server->port());
  Caller.sendAll("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  m_Arrived.WaitForNotification();
  onLoop([&] {
    Caller.reset();
    m_Server->answer(m_Ids[0], {});
    EXPECT_EQ(m_Gone, 0);
  });
  m_Left.WaitForNotification();
  EXPECT_EQ(m_Gone, 1);
}

TEST_F(LoopTest, Server_BrokenRequest_IsRefusedAndClosed) {
  serve([](const ParsedMessage &) { return HttpResponse{}; });
  RawSocket Caller = RawSocket::connectTo(m_Server->port());
  Caller.sendAll("NONSENSE\r\n\r\n");
  std::string Text = Caller.readToEnd();
  EXPECT_NE(Text.find(" 400 "), std::string::npos);
  EXPECT_NE(Text.find("Connection: close"), std::string::npos);
}

TEST_F(LoopTest, Server_BodyPastTheLimit_IsRefused) {
  serve([](const ParsedMessage &) { return HttpResponse{}; });
  RawSocket Caller = RawSocket::connectTo(m_Server->port());
  Caller.sendAll("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
  EXPECT_NE(Caller.readToEnd().find(" 413 "), std::string::npos);
}

TEST_F(LoopTest, Server_Closing_LastAnswerSaysSo) {
  serve(nullptr);
  RawSocket Caller = RawSocket::connectTo(m_Server->port());
  Caller.sendAll("GET / HTTP/1.1\r\n\r\n");
  m_Arrived.WaitForNotification();
  onLoop([this] {
    m_Server->beginClosing();
    m_Server->answer(m_Ids[0], {.m_Body = "last"});
  });
  EXPECT_NE(Caller.readToEnd().find("Connection: close"), std::string::npos);
}

TEST_F(LoopTest, Client_KeptConnection_IsUsedAgain) {
  serve([](const ParsedMessage &Message) {
    return HttpResponse{.m_Body = Message.m_Path};
  });
  m_Port = m_Server->port();
  EXPECT_EQ(call("/1").m_Response.m_Body, "/1");
  EXPECT_EQ(call("/2").m_Response.m_Body, "/2");
  onLoop([this] { EXPECT_EQ(m_Client->counts().opened(), 1U); });
}

// A target with more slots than connections were kept: after each burst the
// rest was closed, and opened again for the next.
TEST_F(LoopTest, Client_SecondBurstOfTheSameSize_OpensNoConnection) {
  constexpr std::size_t Calls = 150;
  serve([](const ParsedMessage &) { return HttpResponse{}; });
  auto SendBurst = [&] {
    std::size_t Answered = 0;
    absl::Notification Done;
    onLoop([&] {
      if (!m_Client)
        m_Client = std::make_unique<LoopClient>(m_Loop, LoopClient::Options{});
      for (std::size_t Index = 0; Index < Calls; ++Index)
        m_Client->send({.m_To = {"127.0.0.1", m_Server->port()},
                        .m_Text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
                       [&](const HttpResult &, absl::Time) {
                         if (++Answered == Calls)
                           Done.Notify();
                       });
    });
    Done.WaitForNotification();
  };
  SendBurst();
  SendBurst();
  onLoop([&] {
    EXPECT_EQ(m_Client->counts().opened(), Calls);
    EXPECT_EQ(m_Client->counts().m_Closed,
              decltype(ConnectionCounts::m_Closed){});
  });
}

// Calls that take no idle connection would otherwise fill the pool, up to what
// the target accepts from all.
TEST_F(LoopTest, Client_CallsThatTakeNoIdleConnection_KeepOne) {
  serve([](const ParsedMessage &) { return HttpResponse{}; });
  m_Port = m_Server->port();
  call("/");
  constexpr std::uint64_t Calls = 5;
  for (std::uint64_t Index = 0; Index < Calls; ++Index) {
    absl::Notification Done;
    onLoop([&] {
      m_Client->send({.m_To = {"127.0.0.1", m_Port},
                      .m_Text = "POST / HTTP/1.1\r\nHost: x\r\n\r\n",
                      .m_MaxIdleFor = absl::Nanoseconds(-1)},
                     [&](const HttpResult &, absl::Time) { Done.Notify(); });
    });
    Done.WaitForNotification();
  }
  onLoop([&] {
    const ConnectionCounts &Counts = m_Client->counts();
    auto Index = static_cast<std::size_t>(ConnectionEnd::Replaced);
    EXPECT_EQ(Counts.opened(), 1 + Calls);
    EXPECT_EQ(Counts.m_Closed[Index], Calls);
  });
}

/// What a target does with a kept connection while the loop is busy.
struct IdleEvent {
  const char *m_Name;
  const char *m_Bytes; ///< Empty: it closes the connection.
  ConnectionEnd m_Expected;
};

class IdleEventTest : public LoopTest,
                      public testing::WithParamInterface<IdleEvent> {
protected:
  static constexpr std::string_view First =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  static constexpr std::string_view Second =
      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

  /// Answers on one connection, does what the case says once \p MayAct, and
  /// answers on the next.
  static void runTarget(const RawSocket &Listener, absl::Notification &MayAct,
                        absl::Notification &HasActed) {
    std::optional<RawSocket> Kept(Listener.acceptOne());
    (void)Kept->readUntil("\r\n\r\n");
    Kept->sendAll(First);
    MayAct.WaitForNotification();
    std::string_view Bytes = GetParam().m_Bytes;
    if (Bytes.empty())
      Kept.reset();
    else
      Kept->sendAll(Bytes);
    HasActed.Notify();
    RawSocket Next = Listener.acceptOne();
    (void)Next.readUntil("\r\n\r\n");
    Next.sendAll(Second);
  }

  /// Sends a call in the same turn of the loop in which the target acts.
  HttpResult callWhileBusy(absl::Notification &MayAct,
                           absl::Notification &HasActed) {
    HttpResult Seen;
    absl::Notification Done;
    m_Loop.post([&] {
      MayAct.Notify();
      HasActed.WaitForNotification();
      m_Client->send({.m_To = {"127.0.0.1", m_Port},
                      .m_Text = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"},
                     [&](HttpResult Result, absl::Time) {
                       Seen = std::move(Result);
                       m_CountsAtAnswer = m_Client->counts();
                       Done.Notify();
                     });
    });
    Done.WaitForNotification();
    return Seen;
  }

  ConnectionCounts m_CountsAtAnswer;
};

// A daemon with little processor time reads late that a kept connection has
// ended: a request that may run once then had an unknown outcome, and an answer
// that belongs to no request was taken for that of the next.
TEST_P(IdleEventTest, Client_KeptConnectionChangedUnread_OpensAnother) {
  RawSocket Listener = RawSocket::listenAnywhere();
  m_Port = Listener.port();
  absl::Notification MayAct;
  absl::Notification HasActed;
  std::thread Target([&] { runTarget(Listener, MayAct, HasActed); });
  EXPECT_EQ(call("/1").m_Response.m_Body, "first");
  HttpResult Result = callWhileBusy(MayAct, HasActed);
  { RawSocket Release = RawSocket::connectTo(m_Port); }
  Target.join();
  EXPECT_EQ(Result.m_Failure, Failure::None);
  EXPECT_EQ(Result.m_Response.m_Body, "second");
  auto Index = static_cast<std::size_t>(GetParam().m_Expected);
  EXPECT_EQ(m_CountsAtAnswer.m_Closed[Index], 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Events, IdleEventTest,
    testing::Values(IdleEvent{"Closed", "", ConnectionEnd::ServerClosed},
                    IdleEvent{
                        "SentAnswerOfNoCall",
                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
                        ConnectionEnd::Unasked}),
    [](const auto &Info) { return Info.param.m_Name; });

TEST_F(LoopTest, Client_NobodyListens_IsNotSent) {
  RawSocket Listener = RawSocket::listenAnywhere();
  m_Port = Listener.port();
  { RawSocket Closed = std::move(Listener); }
  EXPECT_EQ(call("/").m_Failure, Failure::NotSent);
}

/// A target that sends bytes until its caller closes the connection.
struct EndlessAnswer {
  const char *m_Name;
  const char *m_Begin;
  std::string m_Repeated;
};

class EndlessAnswerTest : public LoopTest,
                          public testing::WithParamInterface<EndlessAnswer> {
protected:
  static void sendWithoutEnd(RawSocket &Caller) {
    (void)Caller.readUntil("\r\n\r\n");
    std::string Part;
    while (Part.size() < PartBytes)
      Part += GetParam().m_Repeated;
    if (!Caller.sendAll(GetParam().m_Begin))
      return;
    while (Caller.sendAll(Part)) {
    }
  }

  static constexpr std::size_t PartBytes = 16 << 10;
};

// Guards against memory and time that a target takes without an end.
TEST_P(EndlessAnswerTest, Client_AnswersWithoutEnd_AreCutWithinTheLimits) {
  constexpr std::size_t Calls = 12;
  constexpr std::size_t MaxHeldBytes = 1 << 20;
  RawSocket Listener = RawSocket::listenAnywhere();
  std::vector<std::thread> Targets;
  for (std::size_t Index = 0; Index < Calls; ++Index)
    Targets.emplace_back([&] {
      RawSocket Caller = Listener.acceptOne();
      sendWithoutEnd(Caller);
    });
  std::vector<Failure> Failures;
  absl::Notification Done;
  onLoop([&] {
    m_Client = std::make_unique<LoopClient>(
        m_Loop, LoopClient::Options{
                    .m_MaxHeldBytes = MaxHeldBytes,
                    .m_IsOwn = [](const HttpResponse &, const std::string &) {
                      return false;
                    }});
    for (std::size_t Index = 0; Index < Calls; ++Index)
      m_Client->send({.m_To = {"127.0.0.1", Listener.port()},
                      .m_Text = "GET / HTTP/1.1\r\n\r\n",
                      .m_Timeout = absl::Minutes(5)},
                     [&](const HttpResult &Result, absl::Time) {
                       Failures.push_back(Result.m_Failure);
                       if (Failures.size() == Calls)
                         Done.Notify();
                     });
  });
  Done.WaitForNotification();
  for (std::thread &Target : Targets)
    Target.join();
  EXPECT_EQ(Failures, std::vector<Failure>(Calls, Failure::Cut));
}

INSTANTIATE_TEST_SUITE_P(
    Places, EndlessAnswerTest,
    testing::Values(
        EndlessAnswer{"BeforeTheStatusLine", "", "\r\n"},
        EndlessAnswer{"StatusLine", "HTTP/1.1 200 ", "x"},
        EndlessAnswer{"HeaderName", "HTTP/1.1 200 OK\r\n", "x"},
        EndlessAnswer{"HeaderValue", "HTTP/1.1 200 OK\r\nX: ", "x"},
        EndlessAnswer{"Headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
        EndlessAnswer{"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessAnswer{"AnswersOfOthers", "",
                      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
        EndlessAnswer{"BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        EndlessAnswer{"BodyOfHugeLength",
                      "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
                      "x"},
        EndlessAnswer{"ChunkSize",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "0"},
        EndlessAnswer{"ChunkExtension",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "1;",
                      "x"},
        EndlessAnswer{"Chunks",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "1\r\nx\r\n"},
        EndlessAnswer{"Trailers",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "0\r\n",
                      "X: y\r\n"},
        EndlessAnswer{"Rubbish", "", "\x01\x02"}),
    [](const auto &Info) { return Info.param.m_Name; });

/// What a faulty target sends, and what the client makes of it.
struct Fault {
  const char *m_Name;
  const char *m_Bytes;
  Failure m_Expected;
  const char *m_Body;
};

class ClientFaultTest : public LoopTest,
                        public testing::WithParamInterface<Fault> {};

TEST_P(ClientFaultTest, Client_FaultyTarget_NeverPassesWhatIsNotTheAnswer) {
  RawSocket Listener = RawSocket::listenAnywhere();
  m_Port = Listener.port();
  std::thread Target([&] {
    RawSocket Caller = Listener.acceptOne();
    (void)Caller.readUntil("\r\n\r\n");
    Caller.sendAll(GetParam().m_Bytes);
  });
  HttpResult Result = call("/", "own");
  Target.join();
  EXPECT_EQ(Result.m_Failure, GetParam().m_Expected);
  if (Result.m_Failure == Failure::None) {
    EXPECT_EQ(Result.m_Response.m_Body, GetParam().m_Body);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ClientFaultTest,
    testing::Values(
        Fault{"Whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
              Failure::None, "ok"},
        Fault{"Cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
              Failure::Cut, ""},
        Fault{"Rubbish", "\x01\x02 what is this\r\n\r\n", Failure::Cut, ""},
        Fault{"EndsWithTheConnection", "HTTP/1.1 200 OK\r\n\r\nall of it",
              Failure::None, "all of it"},
        Fault{"CutChunks",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok",
              Failure::Cut, ""},
        Fault{"SecondAnswer",
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
              Failure::None, "ok"},
        Fault{"LateAnswerOfAnother",
              "HTTP/1.1 200 OK\r\nCall-Id: other\r\nContent-Length: 3\r\n\r\n"
              "badHTTP/1.1 200 OK\r\nCall-Id: own\r\nContent-Length: 2\r\n\r\n"
              "ok",
              Failure::None, "ok"},
        Fault{"OnlyAnotherAnswer",
              "HTTP/1.1 200 OK\r\nCall-Id: other\r\nContent-Length: 3\r\n\r\n"
              "bad",
              Failure::Cut, ""},
        Fault{"Nothing", "", Failure::Cut, ""}),
    [](const auto &Info) { return Info.param.m_Name; });

} // namespace
} // namespace knapweedloft::http
