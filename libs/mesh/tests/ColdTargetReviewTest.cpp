#include "mesh/TargetPath.h"

#include "TestSite.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::mesh {
namespace {

using testing::Names;

constexpr absl::Duration Step = absl::Milliseconds(10);
constexpr absl::Duration RunTime = absl::Milliseconds(50);
constexpr absl::Duration ColdDuration = absl::Seconds(3);
/// 12 x 1.5 + 8, the most requests that a cold target takes in a second.
constexpr std::size_t MaxInOneSecond = 26;

/// A target side with a configuration, and a target that has reported itself
/// warm. Its calls end when the test says so.
class ColdTargetReviewTest : public ::testing::Test {
protected:
  struct Running {
    absl::Time m_EndsAt;
    bool m_IsCheck = false;
    http::LoopClient::Done m_OnDone;
  };

  ColdTargetReviewTest() {
    TargetPath::Options Options;
    Options.m_Self = 11;
    Options.m_DataCenter = "a";
    Options.m_Service = "archive";
    Options.m_At = {"10.0.0.5", 80};
    Options.m_HeaderNames = Names;
    Options.m_Hooks.m_Answer = [](link::PeerHandle, const wire::AnswerT &) {};
    Options.m_Hooks.m_Call = [this](const http::LoopClient::Call &Call,
                                    http::LoopClient::Done OnDone) {
      bool IsCheck = Call.m_Text.starts_with("GET /health");
      if (!IsCheck)
        m_Arrivals.push_back(std::max(m_Now, m_ConnectedAt));
      m_Calls.push_back({m_Now + RunTime, IsCheck, std::move(OnDone)});
      return ++m_LastCall;
    };
    Options.m_Hooks.m_CancelCall = [](http::LoopClient::CallId) {};
    Options.m_Hooks.m_OnChange = [](absl::Time) {};
    m_Path = std::make_unique<TargetPath>(std::move(Options),
                                          ComponentLog(m_Log, "target"), m_Now);
    configure(1, 12);
    report(1, absl::ZeroDuration());
  }

  void configure(std::uint64_t Version, double ColdPerSecond) {
    Catalog Made = testing::makeCatalog()->catalog();
    Made.m_Version = Version;
    Made.m_Services = {{.m_Name = "archive",
                        .m_HealthPath = "/health",
                        .m_ColdStartDuration = ColdDuration,
                        .m_ColdPerSecond = ColdPerSecond}};
    m_Path->setCatalog(std::make_shared<const CatalogIndex>(std::move(Made)),
                       m_Now);
  }

  void report(std::uint64_t Sequence, absl::Duration ColdRemaining,
              std::int64_t StartTimeMs = 5) {
    m_Path->onReport({.m_Instance = "i-1",
                      .m_Service = "archive",
                      .m_At = {"10.0.0.5", 80},
                      .m_Slots = 108,
                      .m_Sequence = Sequence,
                      .m_StartTimeMs = StartTimeMs,
                      .m_ColdRemaining = ColdRemaining},
                     m_Now);
  }

  void forward(std::uint32_t Rank = 3) {
    wire::ForwardT Message;
    Message.id = {1, ++m_LastForward};
    Message.to_incarnation = 11;
    Message.method = "GET";
    Message.path = "/reads/1";
    Message.service = "archive";
    Message.route = "reads";
    Message.rank = Rank;
    Message.is_idempotent = true;
    Message.remaining_us = 10'000'000;
    Message.aim_us = 1'500'000;
    Message.call_id = "c1";
    m_Path->onForward({}, Message, m_Now);
  }

  /// A 200 of the target; \p ColdMs below 0: without a word on it.
  static http::HttpResponse answerOf(int Status, int ColdMs) {
    http::HttpResponse Made{.m_Status = Status,
                            .m_Headers = {{"I-Am", "i-1"}, {"Proof", "p"}}};
    if (ColdMs >= 0)
      Made.m_Headers.push_back({"Cold-Left", std::to_string(ColdMs)});
    return Made;
  }

  void end(const Running &Ended, http::Failure Failure,
           http::HttpResponse Response) {
    http::HttpResult Result;
    Result.m_Failure = Failure;
    Result.m_Response = std::move(Response);
    Ended.m_OnDone(std::move(Result), m_Now);
  }

  /// \returns the health check that is on its way; a tick begins it.
  Running takeCheck() {
    m_Path->tick(m_Now);
    auto Found =
        std::find_if(m_Calls.begin(), m_Calls.end(),
                     [](const Running &Each) { return Each.m_IsCheck; });
    if (Found == m_Calls.end()) {
      ADD_FAILURE() << "the target is not checked";
      return {.m_OnDone = [](const http::HttpResult &, absl::Time) {}};
    }
    Running Check = std::move(*Found);
    m_Calls.erase(Found);
    return Check;
  }

  /// Nobody calls for \p For.
  void idle(absl::Duration For) {
    for (absl::Time End = m_Now + For; m_Now < End; m_Now += Step)
      m_Path->tick(m_Now);
  }

  /// Callers press for \p For; health checks say \p ColdMs.
  void press(absl::Duration For, int ColdMs = -1) {
    for (absl::Time End = m_Now + For; m_Now < End; m_Now += Step) {
      while (!m_Calls.empty() && m_Calls.front().m_EndsAt <= m_Now) {
        Running Done = std::move(m_Calls.front());
        m_Calls.pop_front();
        int Said = Done.m_IsCheck ? ColdMs : -1;
        end(Done, http::Failure::None, answerOf(200, Said));
      }
      for (int Count = 0; Count < 3; ++Count)
        forward();
      m_Path->tick(m_Now);
    }
  }

  /// The target does not accept a connection.
  void refuseConnection() {
    forward();
    ASSERT_FALSE(m_Calls.empty());
    Running Last = std::move(m_Calls.back());
    m_Calls.pop_back();
    m_Arrivals.pop_back();
    end(Last, http::Failure::NotSent, {});
  }

  /// \returns the most arrivals in any second that lies within the span.
  [[nodiscard]] std::size_t mostInOneSecond(absl::Time From,
                                            absl::Time To) const {
    std::size_t Most = 0;
    for (absl::Time First : m_Arrivals) {
      if (First < From)
        continue;
      auto IsInside = [&](absl::Time At) {
        return At >= First && At < std::min(First + absl::Seconds(1), To);
      };
      Most =
          std::max(Most, static_cast<std::size_t>(std::count_if(
                             m_Arrivals.begin(), m_Arrivals.end(), IsInside)));
    }
    return Most;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  absl::Time m_ConnectedAt = absl::InfinitePast(); ///< New connections.
  telemetry::EventLog m_Log{
      {.m_Sink = [](std::string_view Text) { return Text.size(); }}};
  std::deque<Running> m_Calls;
  std::vector<absl::Time> m_Arrivals;
  http::LoopClient::CallId m_LastCall = 0;
  std::uint64_t m_LastForward = 0;
  std::unique_ptr<TargetPath> m_Path;
};

// Guards against a queue that is started when the loop, after a pause, reads
// its sockets before it ticks: the target crashed meanwhile and is back, cold,
// under its former id.
TEST_F(ColdTargetReviewTest, OnResult_FirstAfterPause_QueueIsNotStarted) {
  for (int Count = 0; Count < 300; ++Count)
    forward(0);
  std::deque<Running> Broken = std::exchange(m_Calls, {});
  m_Now += absl::Seconds(4);
  absl::Time Start = m_Now;
  for (Running &Each : Broken)
    end(Each, http::Failure::Cut, {});
  press(absl::Milliseconds(500), 2500);
  EXPECT_LE(mostInOneSecond(Start, m_Now), MaxInOneSecond);
}

// Guards against the cold time in a health answer other than 200 that is
// dropped, though that answer lets the next report open the target.
TEST_F(ColdTargetReviewTest, OnReport_IllAnswerSaidCold_IsNotFlooded) {
  refuseConnection();
  report(2, absl::ZeroDuration());
  end(takeCheck(), http::Failure::None, answerOf(503, 2900));
  absl::Time Start = m_Now;
  report(3, absl::ZeroDuration());
  press(absl::Milliseconds(1400), 2900);
  EXPECT_LE(mostInOneSecond(Start, m_Now), MaxInOneSecond);
}

// Guards against a target that answered, then ended: a health check that it
// refused does not count, and a late report opens it for its next start.
TEST_F(ColdTargetReviewTest, OnReport_CheckRefusedSinceAnswer_DoesNotOpen) {
  refuseConnection();
  report(2, absl::ZeroDuration());
  end(takeCheck(), http::Failure::None, answerOf(503, -1));
  m_Now += absl::Milliseconds(600);
  end(takeCheck(), http::Failure::NotSent, {});
  m_Now += absl::Milliseconds(600);
  absl::Time Start = m_Now;
  report(3, absl::ZeroDuration());
  press(absl::Milliseconds(1400), 2900);
  EXPECT_LE(mostInOneSecond(Start, m_Now), MaxInOneSecond);
}

// Guards against the answer to a health check from before the target refused a
// connection.
TEST_F(ColdTargetReviewTest, OnHealthCheck_BeganBeforeRefusal_DoesNotOpen) {
  m_Path->setWithdrawn(true, m_Now);
  m_Path->setWithdrawn(false, m_Now);
  Running Check = takeCheck();
  m_Now += absl::Milliseconds(600);
  refuseConnection();
  end(Check, http::Failure::None, answerOf(200, 0));
  absl::Time Start = m_Now;
  press(absl::Milliseconds(1400), 2900);
  EXPECT_LE(mostInOneSecond(Start, m_Now), MaxInOneSecond);
}

// Guards against a late first report of the present start that drops what its
// health answers have said since.
TEST_F(ColdTargetReviewTest, OnReport_LateFirstOfStart_DoesNotEndColdTime) {
  refuseConnection();
  idle(absl::Milliseconds(2100)); // The first check of a new daemon is late.
  absl::Time Start = m_Now;
  end(takeCheck(), http::Failure::None, answerOf(200, 2900));
  press(absl::Milliseconds(200), 2900);
  report(1, absl::ZeroDuration(), 6);
  press(absl::Seconds(2), 2900);
  EXPECT_LE(mostInOneSecond(Start, m_Now), MaxInOneSecond);
}

// Guards against a remaining time that was rounded to nothing and ends the cold
// time sooner than the report before it had said.
TEST_F(ColdTargetReviewTest, OnReport_RoundedToZero_DoesNotEndColdTime) {
  absl::Time Start = m_Now;
  report(2, ColdDuration);
  press(ColdDuration - absl::Milliseconds(40));
  report(3, absl::ZeroDuration());
  press(absl::Milliseconds(40));
  EXPECT_LE(mostInOneSecond(Start, Start + ColdDuration), MaxInOneSecond);
}

// Guards against starts that wait for their connections for longer than half a
// second, within the time that connecting may take, and arrive with the next.
TEST_F(ColdTargetReviewTest, Start_ConnectsWithinASecond_ArrivalsKeepTheRate) {
  configure(2, 50);
  report(2, ColdDuration);
  absl::Time Start = m_Now;
  m_ConnectedAt = Start + absl::Milliseconds(900);
  press(absl::Milliseconds(2900));
  EXPECT_LE(mostInOneSecond(Start, m_Now), 80U); // 50 x 1.5 + 5
}

// Guards against a target that is kept cold by one health answer, longer than
// targets of its service are, while it reports that it is warm.
TEST_F(ColdTargetReviewTest, OnReport_OneAnswerSaidLongCold_EndsWithColdTime) {
  m_Path->setWithdrawn(true, m_Now);
  m_Path->setWithdrawn(false, m_Now);
  end(takeCheck(), http::Failure::None, answerOf(200, 86'400'000));
  for (std::uint64_t Sequence = 2; Sequence < 12; ++Sequence) {
    press(absl::Seconds(1));
    report(Sequence, absl::ZeroDuration());
  }
  EXPECT_FALSE(m_Path->isCold(m_Now));
}

// Guards against a target that stays closed for good once it has refused a
// connection, because its health answers do not name it.
TEST_F(ColdTargetReviewTest, OnReport_AnswersWithoutNameSinceDown_Opens) {
  refuseConnection();
  report(2, absl::ZeroDuration());
  for (std::uint64_t Sequence = 3; Sequence < 13 && !m_Path->state().isOpen();
       ++Sequence) {
    idle(absl::Milliseconds(750));
    end(takeCheck(), http::Failure::None, {.m_Status = 503});
    report(Sequence, absl::ZeroDuration());
  }
  EXPECT_TRUE(m_Path->state().isOpen());
}

// Guards against health checks, each of which takes a slot of the target, that
// go on for good although the time that they are for is over.
TEST_F(ColdTargetReviewTest, Tick_AnswersIllAfterRestore_ChecksEnd) {
  m_Path->setWithdrawn(true, m_Now);
  m_Path->setWithdrawn(false, m_Now);
  std::size_t Late = 0;
  absl::Time Start = m_Now;
  for (std::uint64_t Sequence = 2; Sequence < 42; ++Sequence) {
    idle(absl::Milliseconds(750));
    report(Sequence, absl::ZeroDuration());
    std::deque<Running> Checks = std::exchange(m_Calls, {});
    for (const Running &Each : Checks)
      end(Each, http::Failure::None, answerOf(503, 0));
    if (m_Now > Start + 2 * ColdDuration)
      Late += Checks.size();
  }
  EXPECT_EQ(Late, 0U);
}

TEST_F(ColdTargetReviewTest, OnReport_LaterStartWhileDown_Opens) {
  refuseConnection();
  report(1, absl::ZeroDuration(), 6);
  EXPECT_TRUE(m_Path->state().isOpen());
}

TEST_F(ColdTargetReviewTest, Tick_IdleTarget_IsNotSuspected) {
  idle(absl::Seconds(5));
  EXPECT_TRUE(m_Calls.empty()) << "a health check takes a slot";
  EXPECT_FALSE(m_Path->isCold(m_Now));
}

TEST_F(ColdTargetReviewTest, ColdStarts_ColdTarget_AreCounted) {
  press(absl::Seconds(1));
  EXPECT_EQ(m_Path->coldStarts().starts(), 0U);
  report(2, ColdDuration);
  press(ColdDuration);
  EXPECT_GT(m_Path->coldStarts().starts(), 20U);
  EXPECT_LE(m_Path->coldStarts().mostInOneSecond(), MaxInOneSecond);
}

} // namespace
} // namespace knapweedloft::mesh
