#include "VirtualTimeFixture.h"

#include "fmt/format.h"

#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace knapweedloft::http {
namespace {

/// What is under way on a connection when a reason to end it comes up.
struct State {
  const char *m_Name;
  std::size_t m_HandedOver;
  bool m_IsSecondAnswered = false; ///< It waits for the first.
  const char *m_Begun = "";        ///< Of a request that is not whole.
  const char *m_Rest = "";         ///< What makes it whole.
};

struct Reason {
  const char *m_Name;
  std::string m_Text;   ///< Sent behind the rest of a request.
  absl::Duration m_For; ///< Time that goes by.
  bool m_IsStop = false;
  bool m_LowersLimits = false;
  /// Where it ends the connection.
  bool m_EndsIdle = true;
  bool m_EndsHandedOver = true;
  bool m_EndsInsideHead = true;
  bool m_EndsInsideBody = true;
};

constexpr std::size_t MaxHeldBytes = 30'000;

const std::vector<State> &states() {
  static const std::vector<State> States = {
      {.m_Name = "Idle", .m_HandedOver = 0},
      {.m_Name = "HandedOver", .m_HandedOver = 2},
      {.m_Name = "AnswerWaits", .m_HandedOver = 2, .m_IsSecondAnswered = true},
      {.m_Name = "InsideHead",
       .m_HandedOver = 2,
       .m_Begun = "GET /begun HTT",
       .m_Rest = "P/1.1\r\n\r\n"},
      {.m_Name = "InsideBody",
       .m_HandedOver = 2,
       .m_Begun = "POST /begun HTTP/1.1\r\nContent-Length: 3\r\n\r\nxx",
       .m_Rest = "x"}};
  return States;
}

const std::vector<Reason> &reasons() {
  static const std::vector<Reason> Reasons = {
      {.m_Name = "Time", .m_For = absl::Seconds(16), .m_EndsHandedOver = false},
      {.m_Name = "LoweredLimits",
       .m_For = absl::Seconds(2),
       .m_LowersLimits = true,
       .m_EndsIdle = false,
       .m_EndsHandedOver = false,
       .m_EndsInsideBody = false},
      {.m_Name = "Malformed", .m_Text = "\x01\x02\r\n\r\n"},
      {.m_Name = "HeadersTooLong",
       .m_Text = "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x')},
      {.m_Name = "BodyTooLong",
       .m_Text = "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"},
      {.m_Name = "HeldBytes",
       .m_Text = "POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" +
                 std::string(MaxHeldBytes + 1, 'x')},
      {.m_Name = "CallerSaysClose",
       .m_Text = "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n"},
      {.m_Name = "PlannedStop", .m_IsStop = true}};
  return Reasons;
}

class ConnectionEndTest
    : public VirtualTimeFixture,
      public testing::WithParamInterface<std::tuple<std::size_t, std::size_t>> {
protected:
  static const State &state() { return states()[std::get<0>(GetParam())]; }
  static const Reason &reason() { return reasons()[std::get<1>(GetParam())]; }

  static bool isEnded() {
    if (state().m_HandedOver == 0)
      return reason().m_EndsIdle;
    if (std::string_view(state().m_Name) == "InsideHead")
      return reason().m_EndsInsideHead;
    if (std::string_view(state().m_Name) == "InsideBody")
      return reason().m_EndsInsideBody;
    return reason().m_EndsHandedOver;
  }

  void bringAboutState() {
    send("GET /first HTTP/1.1\r\n\r\n");
    answerAll();
    for (std::size_t Index = 0; Index < state().m_HandedOver; ++Index)
      send(fmt::format("GET /{} HTTP/1.1\r\n\r\n", Index));
    if (state().m_IsSecondAnswered)
      answer(2);
    if (*state().m_Begun)
      send(state().m_Begun);
  }

  void bringUpReason() {
    if (!reason().m_Text.empty())
      send(state().m_Rest + reason().m_Text);
    if (reason().m_LowersLimits) {
      LoopServer::Limits Lower = limits();
      Lower.m_HeaderTimeout = absl::Seconds(1);
      m_Server->setLimits(Lower);
    }
    if (reason().m_IsStop) {
      m_Server->beginClosing();
      m_Server->endIdle();
    }
    pass(reason().m_For);
  }
};

// Guards against requests that were handed over and get no answer because
// their connection ends.
TEST_P(ConnectionEndTest, End_AnyReasonInAnyState_AllHandedOverAreAnswered) {
  LoopServer::Options Options;
  Options.m_MaxHeldBytes = MaxHeldBytes;
  serve(std::move(Options));
  ASSERT_NO_FATAL_FAILURE(bringAboutState());
  ASSERT_NO_FATAL_FAILURE(bringUpReason());
  answerAll();
  pass(limits().m_LingerTimeout + SweepInterval);
  auto Got = answers(m_Taken.size());
  for (std::size_t Index = 0; Index < m_Taken.size(); ++Index) {
    ASSERT_LT(Index, Got.size());
    EXPECT_EQ(Got[Index], std::pair(200, m_Taken[Index].m_Path));
  }
  EXPECT_LE(Got.size(), m_Taken.size() + 1) << "one refusal at most";
  EXPECT_EQ(m_Server->connections(), isEnded() ? 0U : 1U);
  EXPECT_EQ(m_Server->counts().cut(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ConnectionEndTest,
    testing::Combine(testing::Range<std::size_t>(0, states().size()),
                     testing::Range<std::size_t>(0, reasons().size())),
    [](const auto &Info) {
      return fmt::format("{}_{}", reasons()[std::get<1>(Info.param)].m_Name,
                         states()[std::get<0>(Info.param)].m_Name);
    });

} // namespace
} // namespace knapweedloft::http
