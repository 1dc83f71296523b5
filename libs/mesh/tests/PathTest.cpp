#include "mesh/EntryPath.h"
#include "mesh/TargetPath.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::mesh {
namespace {

using model::Ran;
using model::RefusalReason;

const Dialect Names{.m_CallId = "Call-Id",
                    .m_TimeLeft = "Time-Left",
                    .m_Key = "Authorization",
                    .m_KeyScheme = "Key ",
                    .m_Customer = "Customer",
                    .m_CallerService = "From-Service",
                    .m_Instance = "Meant-For",
                    .m_InstanceTold = "I-Am",
                    .m_NotRun = "Not-Run",
                    .m_Proof = "Proof",
                    .m_TargetLoad = "Load",
                    .m_ColdLeft = "Cold-Left"};

CatalogPtr makeCatalog() {
  Catalog Made;
  Made.m_Version = 1;
  Made.m_Routes = {{.m_Name = "reads",
                    .m_Host = "site",
                    .m_PathPrefix = "/reads/",
                    .m_Parts = {{"archive", 1}},
                    .m_IsIdempotent = true,
                    .m_MaxTargets = 2,
                    .m_Timeout = absl::Seconds(5),
                    .m_Aim = absl::Seconds(1)},
                   {.m_Name = "orders",
                    .m_Host = "site",
                    .m_PathPrefix = "/orders/",
                    .m_Parts = {{"archive", 1}},
                    .m_MaxTargets = 2,
                    .m_Timeout = absl::Seconds(5),
                    .m_Aim = absl::Seconds(1)},
                   {.m_Name = "calls",
                    .m_Host = "site",
                    .m_PathPrefix = "/calls/",
                    .m_Parts = {{"archive", 1}},
                    .m_IsIdempotent = true,
                    .m_IsOpen = true,
                    .m_MaxTargets = 2,
                    .m_Timeout = absl::Seconds(2),
                    .m_Aim = absl::Seconds(1)}};
  Made.m_Services = {{.m_Name = "archive",
                      .m_HealthPath = "/health",
                      .m_ColdFor = absl::Seconds(3),
                      .m_ColdPerSecond = 50}};
  Made.m_Customers = {
      {.m_Name = "acme", .m_Keys = {"secret"}},
      {.m_Name = "small", .m_Keys = {"other"}, .m_PerSecond = 1, .m_Burst = 4}};
  return std::make_shared<const CatalogIndex>(std::move(Made));
}

/// An entry side in front of two daemons that answer by hand.
class EntryPathTest : public testing::Test {
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

  EntryPathTest() : m_Entry(options(), Reporter(m_Log, "entry")) {
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
    Options.m_Dialect = Names;
    Options.m_Repeats = {.m_Ratio = 1, .m_MaxTokens = 10};
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

  /// \p HasArrived: the target itself said that it did not run it.
  void refuse(std::size_t Index, RefusalReason Reason, Ran DidRun,
              bool HasArrived) {
    wire::AnswerT Answer = answerTo(m_Sent[Index]);
    Answer.refusal = static_cast<std::uint8_t>(Reason);
    Answer.ran = static_cast<std::uint8_t>(DidRun);
    Answer.status = HasArrived ? 503 : 0;
    m_Entry.onAnswer(Answer, m_Now);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  telemetry::EventLog m_Log{
      {.m_Sink = [](std::string_view Text) { return Text.size(); }}};
  std::vector<PeerTarget> m_Targets{target("d1", 11), target("d2", 12)};
  std::deque<Sent> m_Sent;
  std::vector<Answered> m_Answers;
  std::vector<std::uint64_t> m_Cancelled;
  std::uint64_t m_Exchange = 0;
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
  EntryPath Fresh(options(), Reporter(m_Log, "entry"));
  http::ParsedMessage Message;
  Message.m_Path = "/reads/1";
  Fresh.onRequest({1, 1}, std::move(Message), "10.9.9.9", m_Now);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
}

TEST_F(EntryPathTest, OnRequest_PastTheRate_Is429WithATimeToComeBack) {
  for (int Index = 0; Index < 3; ++Index)
    request("/reads/1", {{"Authorization", "Key other"}});
  ASSERT_FALSE(m_Answers.empty());
  EXPECT_EQ(m_Answers[0].m_Status, 429);
  EXPECT_NE(m_Answers[0].m_Lines.find("Retry-After: "), std::string::npos);
  EXPECT_NE(m_Answers[0].m_Body.find("\"ran\":\"no\""), std::string::npos);
}

TEST_F(EntryPathTest, OnRequest_CallOfTheOwnTarget_GoesFirstAndNeedsNoKey) {
  request("/calls/1", {{"Authorization", ""}}, "10.0.0.1");
  ASSERT_EQ(m_Sent.size(), 1U);
  EXPECT_EQ(m_Sent[0].m_Message.rank, 0U);
  request("/reads/1");
  EXPECT_GT(m_Sent[1].m_Message.rank, 0U);
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

TEST_F(EntryPathTest, OnAnswer_OutcomeUnknown_OnlyWhatMayIsRepeated) {
  request("/orders/1");
  refuse(0, RefusalReason::BadAnswer, Ran::Unknown, false);
  ASSERT_EQ(m_Sent.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  // 503 and 429 would promise that it has not run.
  EXPECT_GE(m_Answers[0].m_Status, 502);
  EXPECT_NE(m_Answers[0].m_Status, 503);
  request("/reads/1");
  refuse(1, RefusalReason::BadAnswer, Ran::Unknown, false);
  EXPECT_EQ(m_Sent.size(), 3U);
}

TEST_F(EntryPathTest, OnAnswer_NoTargetGetsMoreThanTheRouteAllows) {
  m_Targets.push_back(target("d3", 13));
  request("/reads/1");
  refuse(0, RefusalReason::BadAnswer, Ran::Unknown, false);
  refuse(1, RefusalReason::BadAnswer, Ran::Unknown, false);
  EXPECT_EQ(m_Sent.size(), 2U);
  EXPECT_EQ(m_Answers.size(), 1U);
}

TEST_F(EntryPathTest, OnDaemonLost_RequestThatMayRunOnce_EndsUnknown) {
  request("/orders/1");
  model::Incarnation Daemon = m_Sent[0].m_To == "d1" ? 11 : 12;
  m_Entry.onDaemonLost(Daemon, m_Now);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_NE(m_Answers[0].m_Status, 503);
  EXPECT_NE(m_Answers[0].m_Body.find("unknown"), std::string::npos);
}

TEST_F(EntryPathTest, OnGone_CancelsWhatIsUnderWay) {
  request("/reads/1");
  m_Entry.onGone({1, 1}, m_Now);
  EXPECT_EQ(m_Cancelled.size(), 1U);
  EXPECT_EQ(m_Entry.pending(), 0U);
  succeed(0); // Too late: nobody is answered.
  EXPECT_TRUE(m_Answers.empty());
}

TEST_F(EntryPathTest, Tick_TimeOfTheRouteIsOver_EndsAndCancels) {
  request("/reads/1", {{"Time-Left", "60000"}});
  EXPECT_EQ(m_Sent[0].m_Message.remaining_us, 5'000'000U);
  m_Entry.tick(m_Now + absl::Seconds(5) + absl::Milliseconds(40));
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 504);
  EXPECT_EQ(m_Cancelled.size(), 1U);
}

TEST_F(EntryPathTest, OnRequest_NarrowServiceBelow_IsRefusedAtTheDoor) {
  // The archive calls the survey, whose targets can do a tenth of the work.
  for (PeerTarget &Target : m_Targets)
    Target.m_Calls = {"survey"};
  std::vector<PeerTarget> Archive = m_Targets;
  PeerTarget Survey = target("d9", 19);
  EntryPath::Options Options = options();
  Options.m_Hooks.m_TargetsOf = [&](const std::string &Service) {
    return Service == "survey" ? std::vector<PeerTarget>{Survey} : Archive;
  };
  EntryPath Entry(Options, Reporter(m_Log, "entry"));
  Entry.setCatalog(makeCatalog(), m_Now);
  std::size_t Passed = 0;
  for (int Index = 0; Index < 400; ++Index) {
    m_Now += absl::Milliseconds(10);
    Entry.onLoad("survey", 19, {10, 9, 5, 0.9F, 1000, false}, m_Now);
    http::ParsedMessage Message;
    Message.m_Method = "GET";
    Message.m_Path = "/reads/1";
    Message.m_Headers = {{"Host", "site"},
                         {"Call-Id", "c"},
                         {"Time-Left", "3000"},
                         {"Authorization", "Key secret"}};
    std::size_t Before = m_Sent.size();
    Entry.onRequest({2, static_cast<std::uint64_t>(Index) + 1},
                    std::move(Message), "10.9.9.9", m_Now);
    Passed += m_Sent.size() - Before;
  }
  EXPECT_LT(Passed, 120U);
  EXPECT_GT(Passed, 0U);
  EXPECT_EQ(m_Answers.front().m_Status, 503);
}

/// A target side whose target answers by hand.
class TargetPathTest : public testing::Test {
protected:
  struct Called {
    http::LoopClient::Call m_Call;
    http::LoopClient::Done m_OnDone;
  };

  TargetPathTest() : m_Path(options(), Reporter(m_Log, "target"), m_Now) {
    m_Path.setCatalog(makeCatalog(), m_Now);
  }

  TargetPath::Options options() {
    TargetPath::Options Options;
    Options.m_Self = 11;
    Options.m_DataCenter = "a";
    Options.m_Service = "archive";
    Options.m_At = {"10.0.0.5", 80};
    Options.m_Dialect = Names;
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
                      absl::Duration ColdLeft = absl::ZeroDuration()) {
    return {.m_Instance = "i-1",
            .m_Service = "archive",
            .m_At = {"10.0.0.5", 80},
            .m_Condition = Condition,
            .m_Slots = 10,
            .m_Sequence = Sequence,
            .m_BornMs = 5,
            .m_ColdLeft = ColdLeft};
  }

  void forward(std::uint64_t Sequence, bool IsIdempotent = true) {
    wire::ForwardT Message;
    Message.id = {1, Sequence};
    Message.to_incarnation = 11;
    Message.method = "GET";
    Message.path = "/reads/1";
    Message.service = "archive";
    Message.route = "reads";
    Message.rank = 3;
    Message.is_idempotent = IsIdempotent;
    Message.remaining_us = 3'000'000;
    Message.aim_us = 1'000'000;
    Message.call_id = "c1";
    Message.lines = "Host: site\r\n";
    m_Path.onForward({}, Message, m_Now);
  }

  void finish(std::size_t Index, http::Failure How,
              http::HttpResponse Response = {}) {
    http::HttpResult Result;
    Result.m_Failure = How;
    Result.m_Response = std::move(Response);
    m_Calls[Index].m_OnDone(std::move(Result), m_Now);
  }

  [[nodiscard]] Ran ranOf(std::size_t Index) const {
    return static_cast<Ran>(m_Answers[Index].ran);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  telemetry::EventLog m_Log{
      {.m_Sink = [](std::string_view Text) { return Text.size(); }}};
  std::vector<wire::AnswerT> m_Answers;
  std::deque<Called> m_Calls;
  std::vector<http::LoopClient::CallId> m_CancelledCalls;
  TargetPath m_Path;
};

TEST_F(TargetPathTest, OnForward_OpenTarget_IsMeantForThatInstance) {
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

TEST_F(TargetPathTest, OnForward_UnknownTarget_IsRefusedUnrun) {
  forward(1);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(ranOf(0), Ran::No);
  EXPECT_EQ(m_Answers[0].status, 0); // It has not arrived: no repeat is spent.
  EXPECT_TRUE(m_Calls.empty());
}

TEST_F(TargetPathTest, OnReport_Draining_NothingReachesTheTargetFromThenOn) {
  m_Path.onReport(report(1), m_Now);
  for (std::uint64_t Index = 1; Index <= 15; ++Index)
    forward(Index);
  ASSERT_EQ(m_Calls.size(), 9U);
  EXPECT_EQ(m_Path.onReport(report(2, TargetCondition::Draining), m_Now),
            TargetState::Reception::Taken);
  // Those that waited are refused; those that run go on.
  EXPECT_EQ(m_Answers.size(), 6U);
  forward(20);
  finish(0, http::Failure::None,
         {.m_Status = 200, .m_Headers = {{"Proof", "p"}}});
  EXPECT_EQ(m_Calls.size(), 9U);
  EXPECT_EQ(m_Answers.size(), 8U);
}

TEST_F(TargetPathTest, OnResult_NoWholeAnswer_IsUnknownButForWhatWasNotSent) {
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
  EXPECT_EQ(m_Path.state().gate(), TargetGate::Down);
}

TEST_F(TargetPathTest, OnResult_TargetSaysNotRun_IsBelievedAndHasArrived) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  finish(0, http::Failure::None,
         {.m_Status = 503, .m_Headers = {{"Not-Run", "1"}}});
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(ranOf(0), Ran::No);
  EXPECT_NE(m_Answers[0].status, 0);
}

TEST_F(TargetPathTest, OnResult_SuccessWithoutProof_IsNoAnswer) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  finish(0, http::Failure::None, {.m_Status = 200, .m_Body = "forged"});
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_NE(m_Answers[0].refusal, 0);
  EXPECT_EQ(ranOf(0), Ran::Unknown);
}

TEST_F(TargetPathTest,
       OnResult_AnotherInstanceAnswers_IsAskedBeforeItGetsMore) {
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
  EXPECT_TRUE(m_Path.state().isOpen());
  EXPECT_TRUE(m_Path.isCold(m_Now));
}

TEST_F(TargetPathTest, SetWithdrawn_TakenBack_IsColdUntilToldOtherwise) {
  m_Path.onReport(report(1), m_Now);
  m_Path.setWithdrawn(true, m_Now);
  forward(1);
  EXPECT_TRUE(m_Calls.empty());
  m_Path.setWithdrawn(false, m_Now);
  EXPECT_TRUE(m_Path.isCold(m_Now));
  m_Path.onReport(report(2), m_Now);
  EXPECT_FALSE(m_Path.isCold(m_Now));
}

TEST_F(TargetPathTest, OnCancel_RunningCall_ClosesItsConnection) {
  m_Path.onReport(report(1), m_Now);
  forward(1);
  m_Path.onCancel({1, 1}, m_Now);
  EXPECT_EQ(m_CancelledCalls.size(), 1U);
  EXPECT_EQ(m_Path.pending(), 0U);
}

TEST_F(TargetPathTest, OnLinkLost_RunThatMayRunOnce_GoesOn) {
  m_Path.onReport(report(1), m_Now);
  forward(1, false);
  forward(2, true);
  m_Path.onLinkLost({}, m_Now);
  EXPECT_EQ(m_CancelledCalls.size(), 1U);
  EXPECT_EQ(m_Path.pending(), 1U);
}

TEST_F(TargetPathTest, OnForward_MayRunOnce_TakesNoConnectionThatWasIdle) {
  m_Path.onReport(report(1), m_Now);
  forward(1, false);
  forward(2, true);
  EXPECT_LT(m_Calls[0].m_Call.m_MaxIdleFor, absl::Seconds(1));
  EXPECT_EQ(m_Calls[1].m_Call.m_MaxIdleFor, absl::InfiniteDuration());
}

} // namespace
} // namespace knapweedloft::mesh
