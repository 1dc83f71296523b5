#include "RawSocket.h"
#include "http/LoopServer.h"
#include "io/EventLoop.h"

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "gtest/gtest.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace knapweedloft::http {
namespace {

/// Why a connection closes.
struct Reason {
  const char *m_Name;
  /// Sent behind the requests; empty: the server closes by itself.
  std::string m_Text;
  bool m_IsStop = false;
  /// How the request that ends the connection is answered: handed over, or
  /// refused by the server.
  int m_HandedOver = 0;
  int m_Refused = 0;
};

constexpr std::size_t Requests = 3;
using Order = std::array<std::size_t, Requests>;

const std::vector<Order> Orders = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                   {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

std::vector<Reason> reasons() {
  return {
      {.m_Name = "PlannedStop", .m_IsStop = true},
      {.m_Name = "CallerSaysClose",
       .m_Text = "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n",
       .m_HandedOver = 1},
      {.m_Name = "Http10",
       .m_Text = "GET /last HTTP/1.0\r\n\r\n",
       .m_HandedOver = 1},
      {.m_Name = "Malformed", .m_Text = "NONSENSE\r\n\r\n", .m_Refused = 1},
      {.m_Name = "HeadersTooLong",
       .m_Text =
           "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
       .m_Refused = 1},
      {.m_Name = "BodyTooLong",
       .m_Text = "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n",
       .m_Refused = 1},
      {.m_Name = "StopAndCallerSaysClose",
       .m_Text = "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n",
       .m_IsStop = true,
       .m_HandedOver = 1},
  };
}

int countOf(std::string_view Text, std::string_view What) {
  int Count = 0;
  for (std::size_t At = Text.find(What); At != std::string_view::npos;
       At = Text.find(What, At + 1))
    ++Count;
  return Count;
}

/// A connection with pipelined requests that are answered in some order, while
/// a reason to close it comes up and a further request is sent.
class ClosingAnswerTest
    : public testing::TestWithParam<std::tuple<std::size_t, std::size_t, int>> {
protected:
  ClosingAnswerTest() {
    m_Loop.start("test");
    onLoop([this] {
      LoopServer::Options Options;
      Options.m_At = {"127.0.0.1", 0};
      Options.m_Limits.m_MaxBodyBytes = 1000;
      Options.m_Hooks.m_OnRequest = [this](ExchangeId Id, const ParsedMessage &,
                                           const std::string &) {
        absl::MutexLock Lock(&m_Mutex);
        m_Ids.push_back(Id);
      };
      m_Server = std::make_unique<LoopServer>(m_Loop, std::move(Options));
    });
  }

  ~ClosingAnswerTest() override {
    onLoop([this] { m_Server.reset(); });
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

  void awaitHandedOver(std::size_t Count) {
    absl::MutexLock Lock(&m_Mutex);
    auto IsReached = [&] { return m_Ids.size() >= Count; };
    m_Mutex.Await(absl::Condition(&IsReached));
  }

  std::size_t handedOver() {
    absl::MutexLock Lock(&m_Mutex);
    return m_Ids.size();
  }

  void answer(std::size_t Index) {
    onLoop([this, Index] {
      ExchangeId Id;
      {
        absl::MutexLock Lock(&m_Mutex);
        Id = m_Ids[Index];
      }
      m_Server->answer(Id, {.m_Body = "whole"});
    });
  }

  io::EventLoop m_Loop;
  std::unique_ptr<LoopServer> m_Server;
  absl::Mutex m_Mutex;
  std::vector<ExchangeId> m_Ids;
};

// Guards against a request that is read and passed on behind the answer that
// closes its connection, so that its caller never gets its answer.
TEST_P(ClosingAnswerTest, Answer_AnyOrder_AllThatIsHandedOverIsAnswered) {
  const Reason Why = reasons()[std::get<0>(GetParam())];
  const Order &InOrder = Orders[std::get<1>(GetParam())];
  int FurtherAfter = std::get<2>(GetParam());
  RawSocket Caller = RawSocket::connectTo(m_Server->port());
  std::string Sent;
  for (std::size_t Index = 0; Index < Requests; ++Index)
    Sent += "GET /" + std::to_string(Index) + " HTTP/1.1\r\n\r\n";
  Caller.sendAll(Sent);
  awaitHandedOver(Requests);
  std::size_t Expected = Requests;
  if (!Why.m_Text.empty()) {
    Caller.sendAll(Why.m_Text);
    Expected += static_cast<std::size_t>(Why.m_HandedOver);
    awaitHandedOver(Expected);
  }
  if (Why.m_IsStop)
    onLoop([this] { m_Server->beginClosing(); });
  bool IsOpen = Why.m_Text.empty();
  int Answered = 0;
  auto SendFurther = [&] {
    Caller.sendAll("GET /further HTTP/1.1\r\n\r\n");
    // It counts as read until the last answer before it is written.
    if (IsOpen && Answered < static_cast<int>(Requests))
      awaitHandedOver(++Expected);
  };
  if (FurtherAfter == 0)
    SendFurther();
  for (std::size_t Index : InOrder) {
    answer(Index);
    if (++Answered == FurtherAfter)
      SendFurther();
  }
  for (std::size_t Index = Requests; Index < Expected; ++Index)
    answer(Index);
  std::string Text = Caller.readToEnd();
  EXPECT_EQ(handedOver(), Expected);
  EXPECT_EQ(countOf(Text, "HTTP/1.1 200 "), static_cast<int>(Expected)) << Text;
  EXPECT_EQ(countOf(Text, "HTTP/1.1 "),
            static_cast<int>(Expected) + Why.m_Refused);
  ASSERT_EQ(countOf(Text, "Connection: close"), 1) << Text;
  EXPECT_EQ(Text.find("HTTP/1.1 ", Text.find("Connection: close")),
            std::string::npos)
      << "an answer behind the closing one";
}

INSTANTIATE_TEST_SUITE_P(
    Schedules, ClosingAnswerTest,
    testing::Combine(testing::Range<std::size_t>(0, reasons().size()),
                     testing::Range<std::size_t>(0, Orders.size()),
                     testing::Range(0, 4)),
    [](const auto &Info) {
      const Order &InOrder = Orders[std::get<1>(Info.param)];
      std::string Name = reasons()[std::get<0>(Info.param)].m_Name;
      for (std::size_t Index : InOrder)
        Name += "_" + std::to_string(Index);
      return Name + "_FurtherAfter" + std::to_string(std::get<2>(Info.param));
    });

} // namespace
} // namespace knapweedloft::http
