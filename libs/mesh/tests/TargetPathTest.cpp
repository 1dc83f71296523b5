#include "mesh/TargetPath.h"

#include "TestSite.h"
#include "model/Ran.h"

#include "gtest/gtest.h"

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::mesh {
namespace {

using model::Ran;
using testing::makeCatalog;
using testing::Names;

/// A target side with a target whose answers the test supplies.
class TargetPathTest : public ::testing::Test {
protected:
  struct Called {
    http::LoopClient::Call m_Call;
    http::LoopClient::Done m_OnDone;
  };

  TargetPathTest() : m_Path(options(), ComponentLog(m_Log, "target"), m_Now) {
    m_Path.setCatalog(makeCatalog(), m_Now);
  }

  TargetPath::Options options() {
    TargetPath::Options Options;
    Options.m_Self = 11;
    Options.m_DataCenter = "a";
    Options.m_Service = "archive";
    Options.m_At = {"10.0.0.5", 80};
    Options.m_HeaderNames = Names;
    Options.m_Hooks.m_Answer = [this](link::PeerHandle, wire::AnswerT Answer) {
      m_Answers.push_back(std::move(Answer));
    };
    Options.m_Hooks.m_Call = [this](http::LoopClient::Call Call,
                                    http::LoopClient::Done OnDone) {
      m_Calls.push_back({std::move(Call), std::move(OnDone)});
      return m_Calls.size();
    };
    Options.m_Hooks.m_CancelCall = [this](http::LoopClient::CallId Id) {
      m_CancelledCalls.push_back(Id);
    };
    Options.m_Hooks.m_OnChange = [](absl::Time) {};
    return Options;
  }

  TargetReport report(std::uint64_t Sequence,
                      TargetCondition Condition = TargetCondition::Ready,
                      absl::Duration ColdRemaining = absl::ZeroDuration()) {
    return {.m_Instance = "i-1",
            .m_Service = "archive",
            .m_At = {"10.0.0.5", 80},
            .m_Condition = Condition,
            .m_Slots = 10,
            .m_Sequence = Sequence,
            .m_StartTimeMs = 5,
            .m_ColdRemaining = ColdRemaining};
  }

  /// From here on crashes are reported to the test.
  void reportCrashes() {
    TargetPath::Options Options = options();
    Options.m_Hooks.m_OnCrash = [this](const std::string &Instance,
                                       std::span<const model::Fingerprint> Runs,
                                       absl::Time) {
      m_Crashes.emplace_back(Instance, std::vector(Runs.begin(), Runs.end()));
    };
    Options.m_Hooks.m_Judge = [this](model::Fingerprint Request, absl::Time) {
      return policy::RequestJudgement{.m_Standing = m_Standings[Request]};
    };
    m_Path =
        TargetPath(std::move(Options), ComponentLog(m_Log, "target"), m_Now);
    m_Path.setCatalog(makeCatalog(), m_Now);
    m_Path.onReport(report(1), m_Now);
  }

  void tick(int Times) {
    for (int Count = 0; Count < Times; ++Count) {
      m_Now += absl::Milliseconds(20);
      m_Path.tick(m_Now);
    }
  }

  void forward(std::uint64_t Sequence, bool IsIdempotent = true,
               const std::string &Route = "reads",
               const wire::TargetNoticeT *Notice = nullptr) {
    wire::ForwardT Message;
    if (Notice)
      Message.notice = std::make_unique<wire::TargetNoticeT>(*Notice);
    Message.id = {1, Sequence};
    Message.to_incarnation = 11;
    Message.method = "GET";
    Message.path = "/reads/1";
    Message.service = "archive";
    Message.route = Route;
    Message.rank = 3;
    Message.is_idempotent = IsIdempotent;
    Message.remaining_us = 3'000'000;
    Message.aim_us = 1'000'000;
    Message.call_id = "c1";
    Message.lines = "Host: site\r\n";
    Message.fingerprint = 100 + Sequence;
    Message.has_crossed = m_HasCrossed;
    m_Path.onForward({}, Message, m_Now);
  }

  void finish(std::size_t Index, http::Failure Failure,
              http::HttpResponse Response = {}) {
    http::HttpResult Result;
    Result.m_Failure = Failure;
    Result.m_Response = std::move(Response);
    m_Calls[Index].m_OnDone(std::move(Result), m_Now);
  }

  void finishWithLoad(std::size_t Index, const std::string &Load) {
    finish(Index, http::Failure::None,
           {.m_Status = 200, .m_Headers = {{"Proof", "p"}, {"Load", Load}}});
  }

  /// Runs requests one after the other at a target that takes 100 ms in some
  /// moments and 40 ms in others, the last time. \returns the last sequence.
  std::uint64_t learnPace() {
    std::uint64_t Sequence = 0;
    auto Run = [&](int Count, absl::Duration Took, const char *Load) {
      for (; Count > 0; --Count) {
        forward(++Sequence);
        m_Now += Took;
        finishWithLoad(m_Calls.size() - 1, Load);
      }
    };
    for (int Round = 0; Round < 20; ++Round) {
      Run(5, absl::Milliseconds(100), "1,0,10,250");
      Run(20, absl::Milliseconds(40), "1,0,10,100");
    }
    return Sequence;
  }

  [[nodiscard]] Ran ranOf(std::size_t Index) const {
    return static_cast<Ran>(m_Answers[Index].ran);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  std::string m_LogText;
  telemetry::EventLog m_Log{{.m_Sink = [this](std::string_view Text) {
    m_LogText += Text;
    return Text.size();
  }}};
  std::vector<wire::AnswerT> m_Answers;
  std::deque<Called> m_Calls;
  std::vector<http::LoopClient::CallId> m_CancelledCalls;
  std::vector<std::pair<std::string, std::vector<model::Fingerprint>>>
      m_Crashes;
  std::map<model::Fingerprint, policy::RequestStanding> m_Standings;
  bool m_HasCrossed = false; ///< Of the next forwards.
  TargetPath m_Path;
};

TEST_F(TargetPathTest, OnForward_OpenTarget_NamesInstanceAndTimeLeft) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  ASSERT_EQ(m_Calls.size(), 1U);
  const std::string &Text = m_Calls[0].m_Call.m_Text;
  EXPECT_NE(Text.find("Meant-For: i-1\r\n"), std::string::npos);
  EXPECT_NE(Text.find("Time-Left: 3000\r\n"), std::string::npos);
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"Proof", "p"}}, .m_Body = "ok"});
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].status, 200);
}

TEST_F(TargetPathTest, OnForward_UnknownTarget_RefusedAsNotRun) {
  forward(1);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(ranOf(0), Ran::No);
  EXPECT_EQ(m_Answers[0].status, 0); // Did not reach the target: uses no retry.
  EXPECT_TRUE(m_Calls.empty());
}

TEST_F(TargetPathTest, OnReport_Draining_NoMoreRequestsReachTarget) {
  m_Path.onReport(report(1), m_Now);
  for (std::uint64_t Index = 1; Index <= 15; ++Index)
    forward(Index);
  ASSERT_EQ(m_Calls.size(), 9U);
  EXPECT_EQ(m_Path.onReport(report(2, TargetCondition::Draining), m_Now),
            TargetState::ReportResult::Accepted);
  // Queued requests are refused; running ones go on.
  EXPECT_EQ(m_Answers.size(), 6U);
  forward(20);
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"Proof", "p"}}});
  EXPECT_EQ(m_Calls.size(), 9U);
  EXPECT_EQ(m_Answers.size(), 8U);
}

TEST_F(TargetPathTest, OnResult_TargetNamesItsPace_AnswerTellsIt) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  forward(2);
  forward(3);
  finishWithLoad(0, "3,0,10");
  finishWithLoad(1, "2,0,10,100");
  finishWithLoad(2, "1,0,10,250");
  ASSERT_EQ(m_Answers.size(), 3U);
  EXPECT_EQ(m_Answers[0].pace, 0U);
  EXPECT_EQ(m_Answers[1].pace, 100U);
  EXPECT_GT(m_Answers[2].pace, 200U);
}

// Load pattern: a target with a queue turns slow for a moment.
TEST_F(TargetPathTest, OnResult_TargetTurnsSlow_QueuedRequestsAreHandedBack) {
  m_Path.onReport(report(1), m_Now);
  std::uint64_t Last = learnPace();
  m_Answers.clear();
  std::size_t Before = m_Calls.size();
  constexpr std::uint64_t Sent = 139;
  for (std::uint64_t Index = 1; Index <= Sent; ++Index)
    forward(Last + Index);
  ASSERT_EQ(m_Calls.size(), Before + 9);
  ASSERT_TRUE(m_Answers.empty()) << "the others are queued";
  m_Now += absl::Milliseconds(40);
  finishWithLoad(Before, "9,0,10,250");
  ASSERT_GT(m_Answers.size(), 5U);
  for (std::size_t Index = 1; Index < m_Answers.size(); ++Index) {
    EXPECT_EQ(ranOf(Index), Ran::No);
    EXPECT_EQ(m_Answers[Index].status, 0) << "it is no repeat";
  }
  EXPECT_EQ(m_Calls.size(), Before + 10) << "none of them reached the target";
}

// Guards against entry sides that forget that a target leaves when its daemon
// stops.
TEST_F(TargetPathTest, OnResult_LeavingWhileStopping_StillSaysSo) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  forward(2);
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"Proof", "p"}, {"Leaves", "1"}}});
  EXPECT_EQ(m_Path.state().availability(), TargetAvailability::Leaving);
  m_Path.stop(m_Now);
  finish(1, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"Proof", "p"}, {"Leaves", "1"}}});
  ASSERT_EQ(m_Answers.size(), 2U);
  ASSERT_TRUE(m_Answers[1].notice);
  EXPECT_TRUE(m_Answers[1].notice->is_leaving);
}

TEST_F(TargetPathTest, OnForward_RemindedAfterRestart_LimitAndLeaveHold) {
  m_Path.onReport(report(1), m_Now);
  wire::TargetNoticeT Notice;
  Notice.instance = "i-1";
  Notice.start_time_ms = 5;
  Notice.rate_limit = 0.5;
  forward(1, true, "reads", &Notice);
  EXPECT_EQ(m_Path.rateLimit(), 0.5);
  EXPECT_TRUE(m_Calls.empty());
  Notice.is_leaving = true;
  Notice.start_time_ms = 4; // Of an earlier start.
  forward(2, true, "reads", &Notice);
  EXPECT_TRUE(m_Path.state().isOpen());
  Notice.start_time_ms = 5;
  forward(3, true, "reads", &Notice);
  EXPECT_FALSE(m_Path.state().isOpen());
}

TEST_F(TargetPathTest, OnHealthCheck_HealthyWhileLeaving_StaysClosed) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"Proof", "p"}, {"Leaves", "1"}}});
  m_Path.onReport(report(2), m_Now);
  tick(100);
  forward(2);
  EXPECT_EQ(m_Calls.size(), 1U);
  EXPECT_EQ(m_Path.state().availability(), TargetAvailability::Leaving);
}

TEST_F(TargetPathTest, OnResult_IncompleteAnswer_UnknownUnlessNotSent) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  forward(2);
  forward(3);
  finish(0, http::Failure::Cut);
  finish(1, http::Failure::TimedOut);
  finish(2, http::Failure::NotSent);
  ASSERT_EQ(m_Answers.size(), 3U);
  EXPECT_EQ(ranOf(0), Ran::Unknown);
  EXPECT_EQ(ranOf(1), Ran::Unknown);
  EXPECT_EQ(ranOf(2), Ran::No);
  EXPECT_EQ(m_Path.state().availability(), TargetAvailability::Down);
}

TEST_F(TargetPathTest, OnResult_MalformedAnswer_IsToldFromACutOne) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  forward(2);
  finish(0, http::Failure::Cut);
  m_Calls[1].m_OnDone({.m_Failure = http::Failure::Cut,
                       .m_Fault = http::AnswerFault::StatusLine},
                      m_Now);
  ASSERT_EQ(m_Answers.size(), 2U);
  EXPECT_EQ(ranOf(1), ranOf(0));
  EXPECT_EQ(m_Answers[1].refusal, m_Answers[0].refusal);
  EXPECT_EQ(m_Path.counts().m_Incomplete, 2U);
  EXPECT_EQ(m_Path.counts().m_Malformed, 1U);
  m_Log.flush(absl::Now());
  EXPECT_NE(m_LogText.find("fault=status-line"), std::string::npos);
}

TEST_F(TargetPathTest, OnResult_TargetSaysNotRun_NotRunButArrived) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  finish(0, http::Failure::None,
         {.m_Status = 503, .m_Headers = {{"Not-Run", "1"}}});
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(ranOf(0), Ran::No);
  EXPECT_NE(m_Answers[0].status, 0);
}

TEST_F(TargetPathTest, OnResult_SuccessWithoutProof_RefusedAsUnknown) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  finish(0, http::Failure::None, {.m_Status = 200, .m_Body = "forged"});
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_NE(m_Answers[0].refusal, 0);
  EXPECT_EQ(ranOf(0), Ran::Unknown);
}

TEST_F(TargetPathTest, OnResult_OtherInstanceAnswers_CheckedBeforeNextRequest) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  finish(0, http::Failure::None,
         {.m_Status = 421, .m_Headers = {{"I-Am", "i-2"}}});
  EXPECT_EQ(ranOf(0), Ran::No);
  forward(2);
  EXPECT_EQ(m_Calls.size(), 1U);
  m_Path.tick(m_Now);
  ASSERT_EQ(m_Calls.size(), 2U);
  EXPECT_NE(m_Calls[1].m_Call.m_Text.find("GET /health"), std::string::npos);
  finish(
      1, http::Failure::None,
      {.m_Status = 200, .m_Headers = {{"I-Am", "i-2"}, {"Cold-Left", "2000"}}});
  EXPECT_TRUE(m_Path.isCold(m_Now));
  forward(3);
  EXPECT_EQ(m_Calls.size(), 2U) << "nothing says that i-2 is of the service";
  TargetReport Next =
      report(1, TargetCondition::Ready, absl::Milliseconds(1900));
  Next.m_Instance = "i-2";
  m_Path.onReport(Next, m_Now);
  EXPECT_TRUE(m_Path.state().isOpen());
  EXPECT_TRUE(m_Path.isCold(m_Now));
}

// Guards against a target that is closed by a report of another writer.
TEST_F(TargetPathTest, OnReport_ServiceNotInConfiguration_ChangesNothing) {
  m_Path.onReport(report(1), m_Now);
  TargetReport Odd = report(1'000'000);
  Odd.m_Service = "nowhere";
  EXPECT_EQ(m_Path.onReport(Odd, m_Now), TargetState::ReportResult::Foreign);
  EXPECT_TRUE(m_Path.state().isOpen());
  m_Path.onReport(report(2, TargetCondition::Draining), m_Now);
  EXPECT_FALSE(m_Path.state().isOpen());
}

TEST_F(TargetPathTest, OnRemembered_CheckedBefore_OpensAtOnce) {
  TargetPath::Options Options = options();
  Options.m_IsRestart = true;
  m_Path = TargetPath(std::move(Options), ComponentLog(m_Log, "target"), m_Now);
  m_Path.setCatalog(makeCatalog(), m_Now);
  tick(1);
  ASSERT_EQ(m_Calls.size(), 1U);
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"I-Am", "i-1"}}});
  forward(1);
  EXPECT_EQ(m_Calls.size(), 1U);
  m_Path.onRemembered("i-1", m_Now);
  forward(2);
  EXPECT_EQ(m_Calls.size(), 2U);
}

TEST_F(TargetPathTest, SetWithdrawn_Restored_ColdUntilCheckedOtherwise) {
  m_Path.onReport(report(1), m_Now);
  m_Path.setWithdrawn(true, m_Now);
  forward(1);
  EXPECT_TRUE(m_Calls.empty());
  m_Path.setWithdrawn(false, m_Now);
  EXPECT_TRUE(m_Path.isCold(m_Now));
  // The report may be from before.
  m_Path.onReport(report(2), m_Now);
  EXPECT_TRUE(m_Path.isCold(m_Now));
  tick(1);
  ASSERT_EQ(m_Calls.size(), 1U);
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"I-Am", "i-1"}, {"Cold-Left", "0"}}});
  EXPECT_FALSE(m_Path.isCold(m_Now));
}

TEST_F(TargetPathTest, OnCancel_RunningCall_ClosesItsConnection) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  m_Path.onCancel({1, 1}, m_Now);
  EXPECT_EQ(m_CancelledCalls.size(), 1U);
  EXPECT_EQ(m_Path.pending(), 0U);
}

TEST_F(TargetPathTest, OnLinkLost_NonIdempotentRequest_GoesOn) {
  m_Path.onReport(report(1), m_Now);
  forward(1, false);
  forward(2, true);
  m_Path.onLinkLost({}, m_Now);
  EXPECT_EQ(m_CancelledCalls.size(), 1U);
  EXPECT_EQ(m_Path.pending(), 1U);
}

TEST_F(TargetPathTest, RouteRunningUntil_OneRouteWithThatDeadline_ReturnsIt) {
  m_Path.onReport(report(1), m_Now);
  forward(1, true, "reads");
  absl::Time ReadsEnd = m_Now + absl::Seconds(3);
  m_Now += absl::Milliseconds(50);
  forward(2, true, "orders");
  EXPECT_EQ(m_Path.routeRunningUntil(ReadsEnd), "reads");
  EXPECT_EQ(m_Path.routeRunningUntil(m_Now + absl::Seconds(3)), "orders");
  EXPECT_EQ(m_Path.routeRunningUntil(m_Now + absl::Seconds(2)), "");
  forward(3, true, "reads"); // Two routes match.
  EXPECT_EQ(m_Path.routeRunningUntil(m_Now + absl::Seconds(3)), "");
}

TEST_F(TargetPathTest, HasCrossedUntil_OneOfTwoWithThatDeadline_IsTrue) {
  m_Path.onReport(report(1), m_Now);
  absl::Time End = m_Now + absl::Seconds(3);
  forward(1);
  EXPECT_FALSE(m_Path.hasCrossedUntil(End));
  m_HasCrossed = true;
  forward(2);
  EXPECT_TRUE(m_Path.hasCrossedUntil(End));
  EXPECT_FALSE(m_Path.hasCrossedUntil(End + absl::Milliseconds(50)));
}

TEST_F(TargetPathTest, OnResult_Answer_TellsHowLongItWasHeld) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  m_Now += absl::Milliseconds(40);
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"Proof", "p"}}, .m_Body = "ok"});
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].held_us, 40'000U);
}

TEST_F(TargetPathTest, Load_ColdTarget_IsRamping) {
  m_Path.onReport(report(1, TargetCondition::Ready, absl::Seconds(2)), m_Now);
  tick(1);
  EXPECT_TRUE(m_Path.load().is_ramping());
  tick(150);
  EXPECT_FALSE(m_Path.load().is_ramping());
}

TEST_F(TargetPathTest, OnResult_AllRunsBreakAndTargetIsGone_ReportsCrash) {
  reportCrashes();
  forward(1);
  forward(2, false);
  m_Now += absl::Milliseconds(5);
  finish(0, http::Failure::Cut);
  finish(1, http::Failure::Cut);
  EXPECT_EQ(m_Answers.size(), 1U); // Only what may be retried is held.
  tick(2);
  ASSERT_EQ(m_Calls.size(), 3U); // The health check.
  EXPECT_TRUE(m_Crashes.empty());
  finish(2, http::Failure::NotSent);
  ASSERT_EQ(m_Crashes.size(), 1U);
  EXPECT_EQ(m_Crashes[0].first, "i-1");
  EXPECT_EQ(m_Crashes[0].second, (std::vector<model::Fingerprint>{101, 102}));
  EXPECT_EQ(m_Answers.size(), 1U);
  tick(1);
  EXPECT_EQ(m_Answers.size(), 2U);
  EXPECT_EQ(m_Path.pending(), 0U);
}

TEST_F(TargetPathTest, OnResult_RunBreaksWhileOthersGoOn_IsNoCrash) {
  reportCrashes();
  forward(1);
  forward(2);
  finish(0, http::Failure::Cut);
  tick(3);
  EXPECT_EQ(m_Calls.size(), 2U); // No health check is needed.
  EXPECT_EQ(m_Answers.size(), 1U);
  EXPECT_TRUE(m_Crashes.empty());
}

// Guards against a crash that one silent connection hides.
TEST_F(TargetPathTest, OnReport_NewInstanceAfterRunsBroke_ReportsCrash) {
  reportCrashes();
  forward(1);
  forward(2);
  finish(0, http::Failure::Cut);
  tick(3);
  EXPECT_TRUE(m_Crashes.empty());
  TargetReport Restarted = report(1);
  Restarted.m_Instance = "i-2";
  Restarted.m_StartTimeMs = 9;
  m_Path.onReport(Restarted, m_Now);
  ASSERT_EQ(m_Crashes.size(), 1U);
  EXPECT_EQ(m_Crashes[0].second, (std::vector<model::Fingerprint>{101, 102}));
}

TEST_F(TargetPathTest, OnResult_RunsBreakAndTargetIsHealthy_IsNoCrash) {
  reportCrashes();
  forward(1);
  finish(0, http::Failure::Cut);
  tick(2);
  finish(1, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"I-Am", "i-1"}}});
  EXPECT_EQ(m_Answers.size(), 1U);
  EXPECT_TRUE(m_Crashes.empty());
}

TEST_F(TargetPathTest, OnResult_LeavingTargetEnds_IsNoCrash) {
  reportCrashes();
  forward(1);
  m_Path.onReport(report(2, TargetCondition::Draining), m_Now);
  finish(0, http::Failure::Cut);
  tick(50);
  EXPECT_EQ(m_Answers.size(), 1U);
  EXPECT_TRUE(m_Crashes.empty());
}

TEST_F(TargetPathTest, OnReport_NewInstanceWhileRunsHang_ReportsCrash) {
  reportCrashes();
  forward(1);
  forward(2);
  m_Now += absl::Seconds(3);
  finish(0, http::Failure::TimedOut);
  TargetReport Restarted = report(1);
  Restarted.m_StartTimeMs = 9; // Under the same name.
  m_Path.onReport(Restarted, m_Now);
  ASSERT_EQ(m_Crashes.size(), 1U);
  EXPECT_EQ(m_Crashes[0].second, (std::vector<model::Fingerprint>{101, 102}));
}

TEST_F(TargetPathTest, OnForward_QuarantinedRequest_DoesNotReachTarget) {
  reportCrashes();
  m_Standings[101] = policy::RequestStanding::Quarantined;
  forward(1);
  EXPECT_TRUE(m_Calls.empty());
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(ranOf(0), Ran::No);
  EXPECT_EQ(m_Answers[0].refusal,
            static_cast<std::uint8_t>(model::RefusalReason::Quarantined));
}

TEST_F(TargetPathTest, OnForward_SecondSuspect_IsRefusedWhileOneRuns) {
  reportCrashes();
  m_Standings[101] = policy::RequestStanding::Suspect;
  m_Standings[102] = policy::RequestStanding::Suspect;
  forward(1);
  forward(2);
  forward(3);
  EXPECT_EQ(m_Calls.size(), 2U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].status, 0); // Did not reach the target.
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"Proof", "p"}}});
  forward(4);
  m_Standings[104] = policy::RequestStanding::Suspect;
  forward(2);
  EXPECT_EQ(m_Calls.size(), 4U);
}

TEST_F(TargetPathTest, OnForward_SecondIsolated_IsRefusedAsOverloaded) {
  reportCrashes();
  m_Standings[101] = policy::RequestStanding::Isolated;
  m_Standings[102] = policy::RequestStanding::Isolated;
  forward(1);
  forward(2);
  EXPECT_EQ(m_Calls.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(ranOf(0), Ran::No);
  EXPECT_EQ(m_Answers[0].refusal,
            static_cast<std::uint8_t>(model::RefusalReason::Overloaded));
}

TEST_F(TargetPathTest, OnForward_NonIdempotent_ReusesNoIdleConnection) {
  m_Path.onReport(report(1), m_Now);
  forward(1, false);
  forward(2, true);
  EXPECT_LT(m_Calls[0].m_Call.m_MaxIdleFor, absl::Seconds(1));
  EXPECT_EQ(m_Calls[1].m_Call.m_MaxIdleFor, absl::InfiniteDuration());
}

} // namespace
} // namespace knapweedloft::mesh
