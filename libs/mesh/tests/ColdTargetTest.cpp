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

/// A target side whose callers press; the target notes when requests reach it.
class ColdTargetTest : public ::testing::Test {
protected:
  struct Running {
    absl::Time m_EndsAt;
    bool m_IsCheck = false;
    http::LoopClient::Done m_OnDone;
  };

  ColdTargetTest() { restart(false); }

  static CatalogPtr catalog(std::uint64_t Version, double ColdPerSecond = 12) {
    Catalog Made = testing::makeCatalog()->catalog();
    Made.m_Version = Version;
    Made.m_Services = {{.m_Name = "archive",
                        .m_HealthPath = "/health",
                        .m_ColdStartDuration = ColdDuration,
                        .m_ColdPerSecond = ColdPerSecond}};
    return std::make_shared<const CatalogIndex>(std::move(Made));
  }

  /// The most requests that a cold target takes in a second.
  static std::size_t boundFor(double ColdPerSecond, double Slack = 8) {
    constexpr double Overage = 1.5;
    return static_cast<std::size_t>(ColdPerSecond * Overage + Slack);
  }

  /// The daemon starts; what it knew is gone.
  void restart(bool IsRestart) {
    m_Calls.clear();
    TargetPath::Options Options;
    Options.m_Self = 11;
    Options.m_DataCenter = "a";
    Options.m_Service = "archive";
    Options.m_At = {"10.0.0.5", 80};
    Options.m_HeaderNames = Names;
    Options.m_IsRestart = IsRestart;
    Options.m_Hooks.m_Answer = [](link::PeerHandle, const wire::AnswerT &) {};
    Options.m_Hooks.m_Call = [this](const http::LoopClient::Call &Call,
                                    http::LoopClient::Done OnDone) {
      bool IsCheck = Call.m_Text.starts_with("GET /health");
      if (!IsCheck)
        m_Arrivals.push_back(m_Now + m_Delay);
      m_Calls.push_back({m_Now + RunTime, IsCheck, std::move(OnDone)});
      return ++m_LastCall;
    };
    Options.m_Hooks.m_CancelCall = [](http::LoopClient::CallId) {};
    Options.m_Hooks.m_OnChange = [](absl::Time) {};
    m_Path = std::make_unique<TargetPath>(std::move(Options),
                                          ComponentLog(m_Log, "target"), m_Now);
  }

  TargetState::ReportResult report(std::uint64_t Sequence,
                                   absl::Duration ColdRemaining,
                                   std::int64_t StartTimeMs = 5) {
    return m_Path->onReport({.m_Instance = "i-1",
                             .m_Service = "archive",
                             .m_At = {"10.0.0.5", 80},
                             .m_Slots = 108,
                             .m_Sequence = Sequence,
                             .m_StartTimeMs = StartTimeMs,
                             .m_ColdRemaining = ColdRemaining},
                            m_Now);
  }

  /// Callers press for \p For; health checks answer with \p ColdMs, or without
  /// a word on it if that is negative.
  void press(absl::Duration For, int ColdMs = -1) {
    for (absl::Time End = m_Now + For; m_Now < End; m_Now += Step) {
      answer(ColdMs);
      for (int Count = 0; Count < 3; ++Count)
        forward();
      m_Path->tick(m_Now);
    }
  }

  void answer(int ColdMs) {
    std::vector<Running> Done;
    for (Running &Each : m_Calls)
      if (Each.m_EndsAt <= m_Now && !(Each.m_IsCheck && m_HoldsChecks))
        Done.push_back(std::move(Each));
    std::erase_if(m_Calls, [](const Running &Each) { return !Each.m_OnDone; });
    for (Running &Each : Done) {
      http::HttpResult Result;
      Result.m_Response.m_Status = 200;
      Result.m_Response.m_Headers = {
          {"I-Am", "i-1"}, {"Proof", "p"}, {"Load", "1,0,108"}};
      if (Each.m_IsCheck && ColdMs >= 0)
        Result.m_Response.m_Headers.push_back(
            {"Cold-Left", std::to_string(ColdMs)});
      Each.m_OnDone(std::move(Result), m_Now);
    }
  }

  void forward() {
    wire::ForwardT Message;
    Message.id = {1, ++m_LastForward};
    Message.to_incarnation = 11;
    Message.method = "GET";
    Message.path = "/reads/1";
    Message.service = "archive";
    Message.route = "reads";
    Message.rank = 3;
    Message.is_idempotent = true;
    Message.remaining_us = 5'000'000;
    Message.aim_us = 1'500'000;
    Message.call_id = "c1";
    m_Path->onForward({}, Message, m_Now);
  }

  /// The target does not accept connections.
  void refuseConnection() {
    forward();
    ASSERT_FALSE(m_Calls.empty());
    Running Last = std::move(m_Calls.back());
    m_Calls.pop_back();
    m_Arrivals.pop_back();
    http::HttpResult Result;
    Result.m_Failure = http::Failure::NotSent;
    Last.m_OnDone(std::move(Result), m_Now);
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
  telemetry::EventLog m_Log{
      {.m_Sink = [](std::string_view Text) { return Text.size(); }}};
  std::deque<Running> m_Calls;
  std::vector<absl::Time> m_Arrivals;
  absl::Duration m_Delay; ///< From the start of a request to its arrival.
  bool m_HoldsChecks = false;
  http::LoopClient::CallId m_LastCall = 0;
  std::uint64_t m_LastForward = 0;
  std::unique_ptr<TargetPath> m_Path;
};

// Guards against a cold time that is lost because no configuration is known
// when the target reports it.
TEST_F(ColdTargetTest, OnReport_ColdBeforeConfiguration_IsNotFlooded) {
  absl::Time Start = m_Now;
  report(1, ColdDuration);
  press(absl::Seconds(1));
  m_Path->setCatalog(catalog(1), m_Now);
  press(absl::Seconds(2));
  EXPECT_LE(mostInOneSecond(Start, Start + ColdDuration), boundFor(12));
  press(absl::Seconds(1));
  EXPECT_GT(mostInOneSecond(Start + ColdDuration, m_Now), boundFor(12))
      << "a warm target is not held back";
}

TEST_F(ColdTargetTest, OnReport_ColdBeforeConfiguration_ClosedUntilItsRate) {
  report(1, ColdDuration);
  EXPECT_FALSE(m_Path->state().isOpen());
  m_Path->setCatalog(catalog(1), m_Now);
  EXPECT_TRUE(m_Path->state().isOpen());
  EXPECT_TRUE(m_Path->isCold(m_Now));
}

TEST_F(ColdTargetTest, Tick_ColdTimeOverWithoutConfiguration_Opens) {
  report(1, ColdDuration);
  press(ColdDuration + absl::Milliseconds(200));
  EXPECT_TRUE(m_Path->state().isOpen());
}

TEST_F(ColdTargetTest, OnReport_WarmBeforeConfiguration_Opens) {
  report(1, absl::ZeroDuration());
  EXPECT_TRUE(m_Path->state().isOpen());
}

TEST_F(ColdTargetTest, SetCatalog_ServiceNamedLater_IsNotFlooded) {
  Catalog Other = testing::makeCatalog()->catalog();
  Other.m_Services.clear();
  m_Path->setCatalog(std::make_shared<const CatalogIndex>(std::move(Other)),
                     m_Now);
  absl::Time Start = m_Now;
  report(1, ColdDuration);
  press(absl::Seconds(1));
  m_Path->setCatalog(catalog(2), m_Now);
  press(absl::Seconds(2));
  EXPECT_LE(mostInOneSecond(Start, Start + ColdDuration), boundFor(12));
}

TEST_F(ColdTargetTest, SetCatalog_RateLoweredWhileCold_NewRateHolds) {
  m_Path->setCatalog(catalog(1, 100), m_Now);
  report(1, ColdDuration);
  absl::Time Start = m_Now;
  press(absl::Seconds(1));
  m_Path->setCatalog(catalog(2, 12), m_Now);
  absl::Time Changed = m_Now;
  press(absl::Seconds(2));
  EXPECT_LE(mostInOneSecond(Changed, Start + ColdDuration), boundFor(12));
}

TEST_F(ColdTargetTest, SetWithdrawn_RestoredBeforeConfiguration_IsNotFlooded) {
  report(1, absl::ZeroDuration());
  m_Path->setWithdrawn(true, m_Now);
  m_HoldsChecks = true;
  m_Path->setWithdrawn(false, m_Now);
  absl::Time Start = m_Now;
  press(absl::Milliseconds(500));
  m_Path->setCatalog(catalog(1), m_Now);
  press(absl::Milliseconds(2500));
  EXPECT_LE(mostInOneSecond(Start, Start + ColdDuration), boundFor(12));
}

// Guards against reports that were made before the target went cold and arrive
// after the news of it.
TEST_F(ColdTargetTest, OnReport_LateAfterRestore_DoesNotEndTheColdTime) {
  m_Path->setCatalog(catalog(1), m_Now);
  report(1, absl::ZeroDuration());
  m_Path->setWithdrawn(true, m_Now);
  m_Path->setWithdrawn(false, m_Now);
  absl::Time Start = m_Now;
  report(2, absl::ZeroDuration());
  press(ColdDuration, 2900);
  EXPECT_LE(mostInOneSecond(Start, Start + absl::Milliseconds(2900)),
            boundFor(12));
}

TEST_F(ColdTargetTest, OnReport_LateAfterHealthCheck_DoesNotEndTheColdTime) {
  restart(true);
  m_Path->setCatalog(catalog(1), m_Now);
  m_Path->onRemembered("i-1", m_Now);
  absl::Time Start = m_Now;
  press(absl::Milliseconds(200), 2900);
  report(4, absl::ZeroDuration());
  press(absl::Seconds(2), 2900);
  EXPECT_LE(mostInOneSecond(Start, Start + absl::Milliseconds(2200)),
            boundFor(12));
}

TEST_F(ColdTargetTest, OnHealthCheck_SaysNothingOfColdTime_ReportedOneHolds) {
  m_Path->setCatalog(catalog(1), m_Now);
  report(1, absl::ZeroDuration());
  refuseConnection();
  report(2, ColdDuration, 6);
  absl::Time Start = m_Now;
  m_Path->setWithdrawn(true, m_Now);
  m_Path->setWithdrawn(false, m_Now);
  press(ColdDuration);
  EXPECT_LE(mostInOneSecond(Start, Start + ColdDuration), boundFor(12));
}

TEST_F(ColdTargetTest, OnHealthCheck_RestoredTargetIsWarm_EndsTheDoubt) {
  m_Path->setCatalog(catalog(1), m_Now);
  report(1, absl::ZeroDuration());
  m_Path->setWithdrawn(true, m_Now);
  m_Path->setWithdrawn(false, m_Now);
  EXPECT_TRUE(m_Path->isCold(m_Now));
  press(absl::Milliseconds(200), 0);
  EXPECT_FALSE(m_Path->isCold(m_Now));
}

// A health check that was on its way when the target's data center was given
// back says nothing of the time after it.
TEST_F(ColdTargetTest, OnHealthCheck_BeganBeforeRestore_DoesNotEndTheDoubt) {
  restart(true);
  m_Path->setCatalog(catalog(1), m_Now);
  m_Path->onRemembered("i-1", m_Now);
  m_Path->tick(m_Now);
  ASSERT_EQ(m_Calls.size(), 1U);
  m_Path->setWithdrawn(true, m_Now);
  m_Now += Step;
  m_Path->setWithdrawn(false, m_Now);
  m_Now += RunTime;
  answer(0);
  EXPECT_TRUE(m_Path->isCold(m_Now));
}

TEST_F(ColdTargetTest, OnReport_NextStartIsWarm_FormerColdTimeEnds) {
  m_Path->setCatalog(catalog(1), m_Now);
  report(1, ColdDuration);
  EXPECT_TRUE(m_Path->isCold(m_Now));
  report(1, absl::ZeroDuration(), 6);
  press(absl::Milliseconds(100));
  EXPECT_FALSE(m_Path->isCold(m_Now));
}

// Guards against a report from before a crash that opens the target for the
// start after it, which keeps its id and is cold.
TEST_F(ColdTargetTest, OnReport_LateWhileDown_DoesNotOpenTheNextStart) {
  m_Path->setCatalog(catalog(1), m_Now);
  report(1, absl::ZeroDuration());
  refuseConnection();
  ASSERT_EQ(m_Path->state().availability(), TargetAvailability::Down);
  report(2, absl::ZeroDuration());
  absl::Time Start = m_Now;
  press(absl::Milliseconds(1400), 2900);
  EXPECT_LE(mostInOneSecond(Start, m_Now), boundFor(12));
}

// A false health answer does not keep a target out that reports and answers.
TEST_F(ColdTargetTest, OnReport_AnsweredIllSinceDown_Opens) {
  m_Path->setCatalog(catalog(1), m_Now);
  report(1, absl::ZeroDuration());
  refuseConnection();
  report(2, absl::ZeroDuration());
  EXPECT_FALSE(m_Path->state().isOpen());
  m_Path->tick(m_Now);
  ASSERT_FALSE(m_Calls.empty());
  Running Check = std::move(m_Calls.back());
  m_Calls.pop_back();
  ASSERT_TRUE(Check.m_IsCheck);
  http::HttpResult Ill;
  Ill.m_Response = {.m_Status = 503, .m_Headers = {{"I-Am", "i-1"}}};
  Check.m_OnDone(std::move(Ill), m_Now);
  EXPECT_FALSE(m_Path->state().isOpen());
  report(3, absl::ZeroDuration());
  EXPECT_TRUE(m_Path->state().isOpen());
}

// Times are told in whole milliseconds: a target is cold a little longer than
// it says.
TEST_F(ColdTargetTest, Tick_EndOfColdTime_WaitsForRoundedTimes) {
  m_Path->setCatalog(catalog(1), m_Now);
  report(1, ColdDuration - absl::Milliseconds(1));
  absl::Time Start = m_Now;
  for (absl::Time End = Start + ColdDuration; m_Now < End;
       m_Now += absl::Microseconds(500)) {
    answer(-1);
    forward();
    m_Path->tick(m_Now);
  }
  EXPECT_LE(mostInOneSecond(Start, Start + ColdDuration), boundFor(12));
}

// Guards against two starts of a daemon that each spend the rate of the same
// second.
TEST_F(ColdTargetTest, Restart_WithinASecond_FormerStartsCount) {
  m_Path->setCatalog(catalog(1, 50), m_Now);
  report(1, ColdDuration);
  absl::Time Start = m_Now;
  press(absl::Milliseconds(300));
  restart(true);
  m_Path->setCatalog(catalog(1, 50), m_Now);
  m_Path->onRemembered("i-1", m_Now);
  press(absl::Milliseconds(2000), 2600);
  EXPECT_LE(mostInOneSecond(Start, m_Now), boundFor(50, 5));
}

// Guards against batches of two seconds that arrive in one: the first opens
// connections, the next finds them open.
TEST_F(ColdTargetTest, Start_ConnectionsAreOpenedFirst_ArrivalsKeepTheRate) {
  m_Path->setCatalog(catalog(1, 50), m_Now);
  report(1, ColdDuration);
  absl::Time Start = m_Now;
  m_Delay = absl::Milliseconds(200);
  press(absl::Milliseconds(800));
  m_Delay = absl::ZeroDuration();
  press(absl::Milliseconds(2000));
  EXPECT_LE(mostInOneSecond(Start, m_Now), boundFor(50, 5));
}

// What became of the target during a pause of the daemon is not known.
TEST_F(ColdTargetTest, Tick_DaemonStoodStill_TargetIsChecked) {
  m_Path->setCatalog(catalog(1), m_Now);
  report(1, absl::ZeroDuration());
  press(absl::Milliseconds(500));
  m_Now += absl::Seconds(4);
  absl::Time Start = m_Now;
  press(absl::Milliseconds(1400), 2500);
  EXPECT_LE(mostInOneSecond(Start, m_Now), boundFor(12));
}

} // namespace
} // namespace knapweedloft::mesh
