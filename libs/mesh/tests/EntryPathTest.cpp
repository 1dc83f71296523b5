#include "mesh/EntryPath.h"

#include "TestSite.h"
#include "model/Ran.h"

#include "absl/time/clock.h"
#include "gtest/gtest.h"

#include <deque>
#include <string>
#include <vector>

namespace knapweedloft::mesh {
namespace {

using model::Ran;
using model::RefusalReason;
using testing::makeCatalog;
using testing::Names;

/// An entry side with two daemons whose answers the test supplies.
class EntryPathTest : public ::testing::Test {
protected:
  struct Answered {
    int m_Status;
    std::string m_Lines;
    std::string m_Body;
  };

  struct Sent {
    std::string m_To;
    wire::ForwardT m_Message;
  };

  EntryPathTest() : m_Entry(options(), ComponentLog(m_Log, "entry")) {
    m_Entry.setCatalog(makeCatalog(), m_Now);
  }

  EntryPath::Options options() {
    EntryPath::Options Options;
    Options.m_Self = {.m_Name = "self",
                      .m_Incarnation = 1,
                      .m_Region = "r",
                      .m_DataCenter = "a",
                      .m_Service = "web"};
    Options.m_SelfAddress = "10.0.0.1";
    Options.m_HeaderNames = Names;
    Options.m_RetryBudget = {.m_Ratio = 1, .m_MaxTokens = 10};
    Options.m_Hooks.m_Forward = [this](const model::Member &To,
                                       wire::ForwardT Message) {
      m_Sent.push_back({To.m_Name, std::move(Message)});
      return true;
    };
    Options.m_Hooks.m_Cancel = [this](const model::Member &,
                                      wire::CancelT Message) {
      m_Cancelled.push_back(Message.id.sequence());
    };
    Options.m_Hooks.m_Answer = [this](http::ExchangeId, int Status,
                                      std::string_view Lines,
                                      std::string_view Body) {
      m_Answers.push_back({Status, std::string(Lines), std::string(Body)});
    };
    Options.m_Hooks.m_TargetsOf = [this](const std::string &) {
      return m_Targets;
    };
    Options.m_Hooks.m_RouteRunningUntil = [this](absl::Time) {
      return m_Running;
    };
    Options.m_Hooks.m_Judge = [this](model::Fingerprint Request, absl::Time) {
      return Request == m_Crashing ? m_Judgement : policy::RequestJudgement{};
    };
    Options.m_Hooks.m_DescribeCrashes = [](model::Fingerprint, absl::Time) {
      return std::string("vm1/i-1 2.0s ago");
    };
    return Options;
  }

  static PeerTarget target(const std::string &Name, model::Incarnation Id) {
    return {.m_Member = {.m_Name = Name,
                         .m_Incarnation = Id,
                         .m_Region = "r",
                         .m_DataCenter = "a",
                         .m_Service = "archive"},
            .m_Instance = "i-" + Name,
            .m_IsOpen = true};
  }

  void request(const std::string &Path, http::HeaderList More = {},
               const std::string &From = "10.9.9.9") {
    http::ParsedMessage Message;
    Message.m_Method = "GET";
    Message.m_Path = Path;
    Message.m_Headers = {{"Host", "site"},
                         {"Call-Id", "c1"},
                         {"Time-Left", "3000"},
                         {"Authorization", "Key secret"}};
    for (http::HeaderField &Field : More) {
      http::removeHeader(Message.m_Headers, Field.m_Name);
      if (!Field.m_Value.empty())
        Message.m_Headers.push_back(std::move(Field));
    }
    m_Entry.onRequest({1, ++m_Exchange}, std::move(Message), From, m_Now);
  }

  wire::AnswerT answerTo(const Sent &Forward) {
    wire::AnswerT Answer;
    Answer.id = Forward.m_Message.id;
    Answer.load = {10, 1, 0, 0, 1000, false};
    return Answer;
  }

  void succeed(std::size_t Index) {
    wire::AnswerT Answer = answerTo(m_Sent[Index]);
    Answer.ran = static_cast<std::uint8_t>(Ran::Yes);
    Answer.status = 200;
    Answer.lines = "Proof: p\r\n";
    Answer.body = {'o', 'k'};
    m_Entry.onAnswer(Answer, m_Now);
  }

  /// \p HasArrived: the refusal is by the target itself, not by its daemon.
  void refuse(std::size_t Index, RefusalReason Reason, Ran DidRun,
              bool HasArrived) {
    wire::AnswerT Answer = answerTo(m_Sent[Index]);
    Answer.refusal = static_cast<std::uint8_t>(Reason);
    Answer.ran = static_cast<std::uint8_t>(DidRun);
    Answer.status = HasArrived ? 503 : 0;
    m_Entry.onAnswer(Answer, m_Now);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  std::string m_LogText;
  telemetry::EventLog m_Log{{.m_Sink = [this](std::string_view Text) {
    m_LogText += Text;
    return Text.size();
  }}};
  model::Fingerprint m_Crashing = 0;
  policy::RequestJudgement m_Judgement;
  std::vector<PeerTarget> m_Targets{target("d1", 11), target("d2", 12)};
  std::deque<Sent> m_Sent;
  std::vector<Answered> m_Answers;
  std::vector<std::uint64_t> m_Cancelled;
  std::uint64_t m_Exchange = 0;
  std::string m_Running; ///< Route that the local target runs.
  EntryPath m_Entry;
};

TEST_F(EntryPathTest, OnRequest_ValidKey_ForwardsWithoutTheKey) {
  request("/reads/1", {{"Customer", "forged"}, {"From-Service", "forged"}});
  ASSERT_EQ(m_Sent.size(), 1U);
  const std::string &Lines = m_Sent[0].m_Message.lines;
  EXPECT_EQ(Lines.find("secret"), std::string::npos);
  EXPECT_EQ(Lines.find("forged"), std::string::npos);
  EXPECT_NE(Lines.find("Customer: acme\r\n"), std::string::npos);
  EXPECT_NE(Lines.find("From-Service: web\r\n"), std::string::npos);
  EXPECT_NE(Lines.find("Call-Id: c1\r\n"), std::string::npos);
  EXPECT_EQ(m_Sent[0].m_Message.remaining_us, 3'000'000U);
  succeed(0);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 200);
  EXPECT_EQ(m_Answers[0].m_Body, "ok");
  EXPECT_EQ(m_Entry.pending(), 0U);
}

TEST_F(EntryPathTest, OnRequest_BadInput_IsRefusedAtOnceWithItsStatus) {
  request("/nowhere/1");
  request("/reads/1", {{"Authorization", "Key wrong"}});
  request("/reads/1", {{"Authorization", ""}});
  request("/reads/1", {{"Call-Id", ""}});
  ASSERT_EQ(m_Answers.size(), 4U);
  EXPECT_EQ(m_Answers[0].m_Status, 404);
  EXPECT_EQ(m_Answers[1].m_Status, 401);
  EXPECT_EQ(m_Answers[2].m_Status, 401);
  EXPECT_EQ(m_Answers[3].m_Status, 400);
  EXPECT_TRUE(m_Sent.empty());
}

TEST_F(EntryPathTest, OnRequest_NoConfigurationYet_Is503) {
  EntryPath Fresh(options(), ComponentLog(m_Log, "entry"));
  http::ParsedMessage Message;
  Message.m_Path = "/reads/1";
  Fresh.onRequest({1, 1}, std::move(Message), "10.9.9.9", m_Now);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
}

TEST_F(EntryPathTest, OnRequest_SameRequest_HasSameFingerprint) {
  request("/reads/1");
  request("/reads/1", {{"Call-Id", "c2"}, {"Time-Left", "500"}});
  request("/reads/2");
  request("/reads/1?part=2");
  ASSERT_EQ(m_Sent.size(), 4U);
  auto PrintOf = [this](std::size_t Index) {
    return m_Sent[Index].m_Message.fingerprint;
  };
  EXPECT_NE(PrintOf(0), 0U);
  EXPECT_EQ(PrintOf(0), PrintOf(1));
  EXPECT_NE(PrintOf(0), PrintOf(2));
  EXPECT_NE(PrintOf(0), PrintOf(3));
}

TEST_F(EntryPathTest, OnRequest_Quarantined_IsRefusedAtOnceWithCause) {
  request("/reads/1");
  m_Crashing = m_Sent[0].m_Message.fingerprint;
  m_Judgement = {.m_Standing = policy::RequestStanding::Quarantined,
                 .m_Crashes = 4,
                 .m_Until = m_Now + absl::Seconds(40),
                 .m_IsConfirmed = true};
  request("/reads/1");
  EXPECT_EQ(m_Sent.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 422);
  EXPECT_EQ(m_Answers[0].m_Body,
            R"({"reason":"quarantined","ran":"no","detail":)"
            R"("targets crashed while they ran this request: 4 are known"})");
  m_Log.flush(absl::Now());
  std::size_t Line = m_LogText.find("entry: Request is quarantined. id=c1 ");
  ASSERT_NE(Line, std::string::npos);
  EXPECT_NE(m_LogText.find("decided_by=\"vm1/i-1 2.0s ago\"", Line),
            std::string::npos);
}

// Guards against a final answer to a request that may have been in flight
// beside the cause of the crashes by chance.
TEST_F(EntryPathTest,
       OnRequest_QuarantineNotConfirmed_Is503WithTimeToComeBack) {
  request("/reads/1");
  m_Crashing = m_Sent[0].m_Message.fingerprint;
  m_Judgement = {.m_Standing = policy::RequestStanding::Quarantined,
                 .m_Crashes = 3,
                 .m_Until = m_Now + absl::Milliseconds(300)};
  request("/reads/1");
  EXPECT_EQ(m_Sent.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
  std::string Name = "Retry-After: ";
  std::size_t Found = m_Answers[0].m_Lines.find(Name);
  ASSERT_NE(Found, std::string::npos);
  EXPECT_GE(std::stod(m_Answers[0].m_Lines.substr(Found + Name.size())), 0.3);
  m_Log.flush(absl::Now());
  EXPECT_NE(m_LogText.find("entry: Request is quarantined. id=c1 "),
            std::string::npos);
}

TEST_F(EntryPathTest, OnAnswer_QuarantinedWhileItRan_IsNotRetried) {
  request("/reads/1");
  m_Crashing = m_Sent[0].m_Message.fingerprint;
  m_Judgement.m_Standing = policy::RequestStanding::Quarantined;
  refuse(0, RefusalReason::BadAnswer, Ran::Unknown, true);
  EXPECT_EQ(m_Sent.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 504);
}

TEST_F(EntryPathTest, OnAnswer_RefusedOnProbation_IsOfferedToOneTargetOnly) {
  request("/reads/1");
  m_Crashing = m_Sent[0].m_Message.fingerprint;
  m_Judgement = {.m_Standing = policy::RequestStanding::Probation,
                 .m_IsConfirmed = true};
  request("/reads/1");
  request("/reads/1");
  ASSERT_EQ(m_Sent.size(), 3U);
  EXPECT_EQ(m_Sent[1].m_To, m_Sent[2].m_To);
  refuse(1, RefusalReason::Quarantined, Ran::No, false);
  EXPECT_EQ(m_Sent.size(), 3U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 422);
}

// Guards against a final answer to a request that may run a moment later.
TEST_F(EntryPathTest, OnAnswer_ProbationTargetClosed_Is503WithRetryAfter) {
  request("/reads/1");
  m_Crashing = m_Sent[0].m_Message.fingerprint;
  m_Judgement.m_Standing = policy::RequestStanding::Probation;
  request("/reads/1");
  refuse(1, RefusalReason::NoTarget, Ran::No, false);
  EXPECT_EQ(m_Sent.size(), 2U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
  EXPECT_NE(m_Answers[0].m_Lines.find("Retry-After: "), std::string::npos);
}

// Guards against a sound request, in flight beside a crashing one, that gets a
// final answer while another of its kind runs.
TEST_F(EntryPathTest, OnAnswer_IsolatedWhileOneRuns_Is503FromOneTarget) {
  request("/reads/1");
  m_Crashing = m_Sent[0].m_Message.fingerprint;
  m_Judgement.m_Standing = policy::RequestStanding::Isolated;
  request("/reads/1");
  request("/reads/1");
  ASSERT_EQ(m_Sent.size(), 3U);
  EXPECT_EQ(m_Sent[1].m_To, m_Sent[2].m_To);
  refuse(2, RefusalReason::Overloaded, Ran::No, false);
  EXPECT_EQ(m_Sent.size(), 3U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
  EXPECT_NE(m_Answers[0].m_Lines.find("Retry-After: "), std::string::npos);
}

TEST_F(EntryPathTest, OnRequest_OverTheRate_Is429WithRetryAfter) {
  for (int Index = 0; Index < 3; ++Index)
    request("/reads/1", {{"Authorization", "Key other"}});
  ASSERT_FALSE(m_Answers.empty());
  EXPECT_EQ(m_Answers[0].m_Status, 429);
  EXPECT_NE(m_Answers[0].m_Lines.find("Retry-After: "), std::string::npos);
  EXPECT_NE(m_Answers[0].m_Body.find("\"ran\":\"no\""), std::string::npos);
}

TEST_F(EntryPathTest, Counts_AnsweredAndRefused_ByRouteCustomerAndService) {
  request("/reads/1");
  succeed(0);
  request("/reads/2", {{"Authorization", "Key wrong"}});
  std::string Text;
  const EntryCounts &Counts = m_Entry.counts();
  Counts.m_ByRoute.appendTo(Text, "n", "route");
  Counts.m_ByCustomer.appendTo(Text, "n", "customer");
  Counts.m_ByService.appendTo(Text, "n", "service");
  EXPECT_EQ(Text,
            "knapweedloft_n{route=\"reads\",outcome=\"answered\"} 1\n"
            "knapweedloft_n{route=\"reads\",outcome=\"bad-key\"} 1\n"
            "knapweedloft_n{customer=\"acme\",outcome=\"answered\"} 1\n"
            "knapweedloft_n{service=\"archive\",outcome=\"answered\"} 1\n");
}

TEST_F(EntryPathTest, OnRequest_CallOfTheLocalTarget_RanksFirstAndNeedsNoKey) {
  request("/calls/1", {{"Authorization", ""}}, "10.0.0.1");
  ASSERT_EQ(m_Sent.size(), 1U);
  EXPECT_EQ(m_Sent[0].m_Message.rank, 0U);
  request("/reads/1");
  EXPECT_GT(m_Sent[1].m_Message.rank, 0U);
}

TEST_F(EntryPathTest, OnRequest_CallOutlastsTheStop_IsRefusedAsNotRun) {
  m_Entry.stopAfter(m_Now, m_Now + absl::Seconds(2));
  request("/calls/1", {{"Authorization", ""}, {"Time-Left", "1980"}},
          "10.0.0.1");
  EXPECT_TRUE(m_Sent.empty());
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
  EXPECT_NE(m_Answers[0].m_Lines.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(m_Answers[0].m_Body, R"({"reason":"stopping","ran":"no"})");
}

TEST_F(EntryPathTest, OnRequest_CallEndsBeforeTheStop_IsServed) {
  m_Entry.stopAfter(m_Now, m_Now + absl::Seconds(2));
  request("/calls/1", {{"Authorization", ""}, {"Time-Left", "1970"}},
          "10.0.0.1");
  ASSERT_EQ(m_Sent.size(), 1U);
  // Without an answer it is over when the daemon ends.
  m_Entry.tick(m_Now + absl::Seconds(2));
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 504);
}

TEST_F(EntryPathTest, OnRequest_IntakeOfTheStop_TakesCallersUntilItsEnd) {
  m_Entry.stopAfter(m_Now + absl::Milliseconds(1), m_Now + absl::Seconds(2));
  request("/reads/1");
  EXPECT_EQ(m_Sent.size(), 1U);
  m_Now += absl::Milliseconds(1);
  request("/reads/2", {{"Time-Left", "500"}});
  EXPECT_EQ(m_Sent.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
}

TEST_F(EntryPathTest, EndAll_RequestsAtTargets_EndWithOutcomeUnknown) {
  request("/orders/1");
  request("/reads/1");
  m_Entry.endAll(m_Now);
  EXPECT_EQ(m_Entry.pending(), 0U);
  ASSERT_EQ(m_Answers.size(), 2U);
  for (const Answered &Each : m_Answers) {
    EXPECT_EQ(Each.m_Status, 504);
    EXPECT_EQ(Each.m_Body, R"({"reason":"outcome-unknown","ran":"unknown"})");
  }
  // Work that takes effect goes on until the link ends.
  EXPECT_TRUE(m_Cancelled.empty());
  succeed(0); // A late answer is dropped.
  EXPECT_EQ(m_Answers.size(), 2U);
}

TEST_F(EntryPathTest, OnAnswer_RefusedByATargetSide_TriesTheOther) {
  request("/orders/1");
  refuse(0, RefusalReason::Overloaded, Ran::No, false);
  ASSERT_EQ(m_Sent.size(), 2U);
  EXPECT_NE(m_Sent[0].m_To, m_Sent[1].m_To);
  refuse(1, RefusalReason::Overloaded, Ran::No, false);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
}

TEST_F(EntryPathTest, OnAnswer_OutcomeUnknown_RetriesIdempotentRequestsOnly) {
  request("/orders/1");
  refuse(0, RefusalReason::BadAnswer, Ran::Unknown, false);
  ASSERT_EQ(m_Sent.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  // 503 and 429 would promise that the request was not run.
  EXPECT_GE(m_Answers[0].m_Status, 502);
  EXPECT_NE(m_Answers[0].m_Status, 503);
  request("/reads/1");
  refuse(1, RefusalReason::BadAnswer, Ran::Unknown, false);
  EXPECT_EQ(m_Sent.size(), 3U);
}

TEST_F(EntryPathTest, OnAnswer_PeerPassesOnAMalformedOne_OutcomeIsUnknown) {
  struct Malformed {
    std::uint16_t m_Status;
    const char *m_Lines;
  };
  for (const Malformed &Each :
       {Malformed{0, "Proof: p\r\n"}, Malformed{100, "Proof: p\r\n"},
        Malformed{600, "Proof: p\r\n"}, Malformed{200, "Pro of: p\r\n"},
        Malformed{200, "Proof : p\r\n"}, Malformed{200, "Proof: p\x01\r\n"},
        Malformed{200, "Proof: p\r\n folded\r\n"}, Malformed{200, "Proof: p"},
        Malformed{200, "Proof: p\nX: y\r\n"}, Malformed{200, ": p\r\n"},
        Malformed{200, "Proof: p\r\n\r\n"},
        Malformed{200, "Proof: p\r\nContent-Length: 9\r\n"}}) {
    request("/orders/1");
    wire::AnswerT Answer = answerTo(m_Sent.back());
    Answer.ran = static_cast<std::uint8_t>(Ran::Yes);
    Answer.status = Each.m_Status;
    Answer.lines = Each.m_Lines;
    m_Entry.onAnswer(Answer, m_Now);
    EXPECT_EQ(m_Answers.back().m_Status, 504) << Each.m_Lines;
    EXPECT_EQ(m_Answers.back().m_Lines.find("Proof"), std::string::npos);
  }
  EXPECT_EQ(m_Answers.size(), m_Sent.size());
}

TEST_F(EntryPathTest, OnAnswer_Failures_ReachNoMoreTargetsThanTheRouteAllows) {
  m_Targets.push_back(target("d3", 13));
  request("/reads/1");
  refuse(0, RefusalReason::BadAnswer, Ran::Unknown, false);
  refuse(1, RefusalReason::BadAnswer, Ran::Unknown, false);
  EXPECT_EQ(m_Sent.size(), 2U);
  EXPECT_EQ(m_Answers.size(), 1U);
}

TEST_F(EntryPathTest,
       OnDaemonLost_NonIdempotentRequest_EndsWithOutcomeUnknown) {
  request("/orders/1");
  model::Incarnation Daemon = m_Sent[0].m_To == "d1" ? 11 : 12;
  m_Entry.onDaemonLost(Daemon, m_Now);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_NE(m_Answers[0].m_Status, 503);
  EXPECT_NE(m_Answers[0].m_Body.find("unknown"), std::string::npos);
}

TEST_F(EntryPathTest, OnConnectionClosed_RequestInFlight_IsCancelled) {
  request("/reads/1");
  m_Entry.onConnectionClosed({1, 1}, http::CallerConnectionEnd::CallerLeft,
                             m_Now);
  EXPECT_EQ(m_Cancelled.size(), 1U);
  EXPECT_EQ(m_Entry.pending(), 0U);
  succeed(0); // A late answer is dropped.
  EXPECT_TRUE(m_Answers.empty());
}

TEST_F(EntryPathTest, Tick_RouteTimeoutPassed_EndsAndCancels) {
  request("/reads/1", {{"Time-Left", "60000"}});
  EXPECT_EQ(m_Sent[0].m_Message.remaining_us, 5'000'000U);
  m_Entry.tick(m_Now + absl::Seconds(5) + absl::Milliseconds(40));
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 504);
  EXPECT_EQ(m_Cancelled.size(), 1U);
}

TEST_F(EntryPathTest,
       OnRequest_CallsOfTheLocalTarget_AreAttributedToTheirRoute) {
  m_Running = "orders";
  for (int Index = 0; Index < 3; ++Index)
    request("/calls/1", {{"Authorization", ""}}, "10.0.0.1");
  EXPECT_TRUE(m_Entry.updateCalls());
  EXPECT_FALSE(m_Entry.updateCalls());
  EXPECT_EQ(m_Entry.calls(), (std::vector<CallEdge>{{"orders", "calls"}}));
}

TEST_F(EntryPathTest,
       OnRequest_TargetsAcceptLittle_MostAreRejectedByAdmission) {
  for (int Index = 0; Index < 400; ++Index) {
    m_Now += absl::Milliseconds(10);
    for (model::Incarnation Daemon : {11U, 12U})
      m_Entry.onLoad("archive", Daemon, {10, 9, 5, 0.9F, 1000, false}, m_Now);
    request("/reads/1");
  }
  EXPECT_LT(m_Sent.size(), 120U);
  EXPECT_GT(m_Sent.size(), 0U);
  EXPECT_EQ(m_Answers.front().m_Status, 503);
}

} // namespace
} // namespace knapweedloft::mesh
