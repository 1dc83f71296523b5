#include "app/EntrySide.h"

#include "app/RequestHeaders.h"
#include "state/RecordCodec.h"
#include "state/StateReplica.h"

#include "nlohmann/json.hpp"
#include "gtest/gtest.h"

#include <deque>
#include <optional>

namespace knapweedloft::app {
namespace {

using model::Ran;
using model::RefusalReason;

constexpr absl::Duration Timeout = absl::Seconds(2);

/// An entry side whose links, clock and callers are in the test's hands.
class EntrySideTest : public testing::Test {
protected:
  EntrySideTest() {
    join("a-1", 11, "dc-a");
    join("b-1", 22, "dc-b");
  }

  void join(const std::string &Name, model::Incarnation Life,
            const std::string &DataCenter) {
    model::Member Who;
    Who.m_Name = Name;
    Who.m_Incarnation = Life;
    Who.m_Link = {"127.0.0.1", 1};
    Who.m_Region = "r";
    Who.m_DataCenter = DataCenter;
    Who.m_Service = "orders";
    append(state::Join{Who});
  }

  void append(state::Entry Entry) {
    state::Record Record{.m_Written = m_Now, .m_Entry = std::move(Entry)};
    m_Replica.applyRecord(m_Replica.offset(), state::encodeRecord(Record));
  }

  EntrySide::Options options() {
    EntrySide::Options Options;
    Options.m_Self.m_Name = "a-0";
    Options.m_Self.m_Incarnation = Self;
    Options.m_Self.m_Region = "r";
    Options.m_Self.m_DataCenter = "dc-a";
    Options.m_Hooks.m_Forward = [this](const model::Member &To,
                                       wire::ForwardT Message) {
      if (!m_IsLinked)
        return false;
      m_Sent.emplace_back(To.m_Name, std::move(Message));
      return true;
    };
    Options.m_Hooks.m_Cancel = [this](const model::Member &, wire::CancelT) {
      ++m_Cancels;
    };
    Options.m_Hooks.m_IsLinked = [this](const model::Member &) {
      return m_IsLinked;
    };
    Options.m_Hooks.m_Query = [this](const model::Member &,
                                     wire::FateQueryT Query) {
      m_Queries.push_back(std::move(Query));
      return m_IsLinked;
    };
    Options.m_Hooks.m_WantLink = [this](const model::Member &) { ++m_Wanted; };
    Options.m_Hooks.m_IsAlive = [](const model::Member &) { return true; };
    Options.m_Hooks.m_Wake = [](absl::Time) {};
    Options.m_Hooks.m_OnHangUp = [this](const EntryRequest &,
                                        std::function<void(absl::Time)> Hook) {
      m_HangUp = std::move(Hook);
    };
    Options.m_Hooks.m_OnEnd = [this](const RequestRecord &Record) {
      m_Ended = Record;
    };
    return Options;
  }

  /// Puts or, without a customer, deletes the key that submit() shows.
  void setKey(const std::string &ChangeId, const std::string &Customer) {
    state::ResourceChange Change{.m_ChangeId = ChangeId,
                                 .m_Kind = model::ResourceKind::Key,
                                 .m_Name = "k"};
    if (!Customer.empty())
      Change.m_Resource =
          model::Key{.m_Name = "k", .m_Customer = Customer, .m_Digest = Digest};
    append(Change);
  }

  void submit(bool IsIdempotent = false, bool HasKey = false) {
    EntryRequest Request;
    auto Http = std::make_shared<http::HttpRequest>();
    Http->m_Method = "POST";
    Http->m_Path = "/orders/7?x=1";
    Http->m_Headers = {{"Authorization", "Bearer secret"}, {"X-Kept", "yes"}};
    Http->m_Body = "volume";
    Request.m_Http = Http;
    Request.m_Answer = [this](http::HttpResponse Response) {
      m_Answers.push_back(std::move(Response));
    };
    Request.m_Route.m_Name = "orders";
    Request.m_Route.m_Service = "orders";
    Request.m_Route.m_IsIdempotent = IsIdempotent;
    Request.m_Customer = "acme";
    Request.m_HasKey = HasKey;
    Request.m_Digest = Digest;
    Request.m_Received = m_Now;
    Request.m_Deadline = m_Now + Timeout;
    m_Entry.submit(std::move(Request), m_Now);
  }

  void answer(const wire::ForwardT &To, RefusalReason Reason, Ran DidRun,
              const std::string &Body = "") {
    wire::AnswerT Answer;
    Answer.id = To.id;
    Answer.refusal = static_cast<std::uint8_t>(Reason);
    Answer.ran = static_cast<std::uint8_t>(DidRun);
    Answer.status = Reason == RefusalReason::None ? 200 : 0;
    Answer.body = toBytes(Body);
    m_Entry.onAnswer(Answer, m_Now);
  }

  /// The link under the first forward goes down.
  model::Member loseLink() {
    m_IsLinked = false;
    model::Member To;
    To.m_Name = m_Sent[0].first;
    To.m_Incarnation = To.m_Name == "a-1" ? 11 : 22;
    To.m_Service = "orders";
    m_Entry.onPeerDown(To, m_Now);
    return To;
  }

  void tellFate(wire::Fate Fate) {
    wire::FateAnswerT Answer;
    Answer.id = m_Queries.back().id;
    Answer.fate = Fate;
    m_Entry.onStatus(Answer, m_Now);
  }

  /// First attempts earn the edge its retries.
  void earnRetries() {
    for (int Earned = 0; Earned < 20; ++Earned) {
      submit();
      answer(m_Sent.back().second, RefusalReason::None, Ran::Yes);
    }
    m_Answers.clear();
    m_Sent.clear();
  }

  void runUntil(absl::Time End) {
    while (m_Now < End) {
      m_Now += absl::Milliseconds(5);
      m_Entry.tick(m_Now);
    }
  }

  nlohmann::json problem() {
    return nlohmann::json::parse(m_Answers.at(0).m_Body);
  }

  static constexpr model::Incarnation Self = 99;
  static constexpr model::KeyDigest Digest{7};
  absl::Time m_Now = absl::UnixEpoch() + absl::Hours(1);
  state::StateReplica m_Replica;
  ContextTable m_Contexts{[] { return std::uint64_t{7}; }};
  bool m_IsLinked = true;
  std::deque<std::pair<std::string, wire::ForwardT>> m_Sent;
  std::deque<wire::FateQueryT> m_Queries;
  int m_Cancels = 0;
  int m_Wanted = 0;
  std::function<void(absl::Time)> m_HangUp;
  std::optional<RequestRecord> m_Ended;
  std::vector<http::HttpResponse> m_Answers;
  EntrySide m_Entry{options(), m_Replica.store(), m_Contexts};
};

TEST_F(EntrySideTest, Submit_TargetAnswers_CallerGetsWholeAnswer) {
  submit();
  ASSERT_EQ(m_Sent.size(), 1U);
  answer(m_Sent[0].second, RefusalReason::None, Ran::Yes, "printed");
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 200);
  EXPECT_EQ(m_Answers[0].m_Body, "printed");
  EXPECT_EQ(m_Entry.pending(), 0U);
}

TEST_F(EntrySideTest, Submit_OutlastsTheStop_IsRefusedAsNotRun) {
  m_Entry.stopBy(m_Now + Timeout);
  submit();
  EXPECT_TRUE(m_Sent.empty());
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
  EXPECT_NE(http::findHeader(m_Answers[0].m_Headers, "Retry-After"), nullptr);
  EXPECT_EQ(problem()["reason"], "stopping");
  EXPECT_EQ(problem()["ran"], "no");
}

TEST_F(EntrySideTest, Submit_EndsBeforeTheStop_IsServed) {
  absl::Time End = m_Now + Timeout + absl::Milliseconds(50);
  m_Entry.stopBy(End);
  submit();
  EXPECT_EQ(m_Sent.size(), 1U);
  // Without an answer it is over when the stop ends.
  m_Entry.tick(End);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 504);
}

TEST_F(EntrySideTest, EndAll_AtTarget_SaysUnknown) {
  submit();
  m_Entry.endAll(m_Now);
  EXPECT_EQ(m_Entry.pending(), 0U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 504);
  EXPECT_EQ(problem()["ran"], "unknown");
  EXPECT_EQ(m_Cancels, 0);
  // A late answer is dropped.
  answer(m_Sent[0].second, RefusalReason::None, Ran::Yes, "printed");
  EXPECT_EQ(m_Answers.size(), 1U);
}

TEST_F(EntrySideTest, EndAll_NeverSent_SaysNotRun) {
  m_IsLinked = false;
  submit();
  ASSERT_TRUE(m_Answers.empty());
  m_Entry.endAll(m_Now);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 503);
  EXPECT_EQ(problem()["ran"], "no");
}

TEST_F(EntrySideTest, Submit_CallersKey_IsNotForwarded) {
  submit();
  ASSERT_EQ(m_Sent.size(), 1U);
  for (const auto &Header : m_Sent[0].second.headers) {
    EXPECT_NE(Header->name, "Authorization");
    EXPECT_EQ(Header->value.find("secret"), std::string::npos);
  }
  EXPECT_EQ(m_Sent[0].second.headers.size(), 1U);
}

TEST_F(EntrySideTest, OnAnswer_SecondCopy_IsIgnored) {
  submit();
  answer(m_Sent[0].second, RefusalReason::None, Ran::Yes, "first");
  answer(m_Sent[0].second, RefusalReason::None, Ran::Yes, "second");
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Body, "first");
}

TEST_F(EntrySideTest, OnAnswer_OfFormerIncarnation_IsIgnored) {
  submit();
  wire::AnswerT Answer;
  Answer.id = {Self + 1, m_Sent[0].second.id.sequence()};
  Answer.status = 200;
  m_Entry.onAnswer(Answer, m_Now);
  EXPECT_TRUE(m_Answers.empty());
}

TEST_F(EntrySideTest, OnAnswer_NotRunAndRefused_TriesAnotherTarget) {
  earnRetries();
  submit();
  std::string First = m_Sent.back().first;
  std::size_t Before = m_Sent.size();
  answer(m_Sent.back().second, RefusalReason::Stopping, Ran::No);
  runUntil(m_Now + absl::Seconds(1));
  ASSERT_EQ(m_Sent.size(), Before + 1);
  EXPECT_NE(m_Sent.back().first, First);
  EXPECT_NE(m_Sent[Before].second.id.sequence(),
            m_Sent[Before - 1].second.id.sequence());
}

TEST_F(EntrySideTest, OnPeerDown_MayHaveRun_SaysUnknownAndDoesNotRetry) {
  submit();
  loseLink();
  runUntil(m_Now + Timeout + absl::Seconds(1));
  EXPECT_EQ(m_Sent.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(problem()["ran"], "unknown");
}

TEST_F(EntrySideTest, OnPeerDown_AnotherLinkUp_AsksAndCollectsTheAnswer) {
  submit();
  model::Member To = loseLink();
  EXPECT_GE(m_Wanted, 1);
  EXPECT_TRUE(m_Queries.empty());
  m_IsLinked = true;
  m_Entry.onPeerUp(To, m_Now);
  ASSERT_EQ(m_Queries.size(), 1U);
  EXPECT_EQ(m_Queries[0].to_incarnation, To.m_Incarnation);
  tellFate(wire::Fate::Running);
  EXPECT_TRUE(m_Answers.empty());
  answer(m_Sent[0].second, RefusalReason::None, Ran::Yes, "printed");
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Body, "printed");
  EXPECT_EQ(m_Sent.size(), 1U);
}

TEST_F(EntrySideTest, OnFate_NotRun_RunsElsewhereUnderAnotherId) {
  earnRetries();
  submit();
  model::Member To = loseLink();
  m_IsLinked = true;
  m_Entry.onPeerUp(To, m_Now);
  tellFate(wire::Fate::NotRun);
  runUntil(m_Now + absl::Milliseconds(500));
  ASSERT_EQ(m_Sent.size(), 2U);
  EXPECT_NE(m_Sent[0].first, m_Sent[1].first);
  EXPECT_NE(m_Sent[0].second.id.sequence(), m_Sent[1].second.id.sequence());
}

TEST_F(EntrySideTest, OnFate_Unknown_SaysUnknownAtOnceAndRunsNothing) {
  submit();
  model::Member To = loseLink();
  m_IsLinked = true;
  m_Entry.onPeerUp(To, m_Now);
  tellFate(wire::Fate::Unknown);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(problem()["ran"], "unknown");
  EXPECT_EQ(m_Sent.size(), 1U);
}

TEST_F(EntrySideTest, OnPeerUp_DaemonWasReplaced_SaysUnknown) {
  submit();
  model::Member To = loseLink();
  To.m_Incarnation = 77;
  m_Entry.onPeerUp(To, m_Now);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(problem()["ran"], "unknown");
}

TEST_F(EntrySideTest, Tick_DeadlinePassesUnanswered_CancelsAndSaysUnknown) {
  submit();
  runUntil(m_Now + Timeout + absl::Seconds(1));
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 504);
  EXPECT_EQ(problem()["ran"], "unknown");
  EXPECT_EQ(m_Cancels, 1);
}

TEST_F(EntrySideTest, Submit_NoLink_WaitsAndForwardsWhenItIsUp) {
  m_IsLinked = false;
  submit();
  EXPECT_TRUE(m_Sent.empty());
  EXPECT_GT(m_Wanted, 0);
  m_IsLinked = true;
  model::Member Who;
  Who.m_Name = "a-1";
  Who.m_Service = "orders";
  m_Entry.onPeerUp(Who, m_Now);
  EXPECT_EQ(m_Sent.size(), 1U);
}

TEST_F(EntrySideTest, OnPeerUp_KeyWithdrawnWhileWaiting_IsNotForwarded) {
  append(
      state::ResourceChange{.m_ChangeId = "c",
                            .m_Name = "acme",
                            .m_Resource = model::Customer{.m_Name = "acme"}});
  setKey("put", "acme");
  m_IsLinked = false;
  submit(false, true);
  setKey("delete", "");
  m_IsLinked = true;
  model::Member Who;
  Who.m_Name = "a-1";
  Who.m_Service = "orders";
  m_Entry.onPeerUp(Who, m_Now);
  EXPECT_TRUE(m_Sent.empty());
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 401);
  EXPECT_EQ(problem()["ran"], "no");
}

TEST_F(EntrySideTest, Submit_NoLinkComesUp_RefusesAsNotRun) {
  m_IsLinked = false;
  submit();
  runUntil(m_Now + Timeout);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(problem()["ran"], "no");
  EXPECT_EQ(problem()["reason"], "no-target");
  EXPECT_NE(http::findHeader(m_Answers[0].m_Headers, "Retry-After"), nullptr);
}

TEST_F(EntrySideTest, OnHangUp_ForwardUnderWay_IsCancelledAtOnce) {
  submit();
  ASSERT_TRUE(m_HangUp);
  m_HangUp(m_Now);
  EXPECT_EQ(m_Cancels, 1);
  EXPECT_EQ(m_Entry.pending(), 0U);
  ASSERT_TRUE(m_Ended);
  EXPECT_EQ(m_Ended->m_Reason, RefusalReason::Cancelled);
}

TEST_F(EntrySideTest, Submit_ContextThatDoesNotRun_IsRefused) {
  EntryRequest Request;
  Request.m_Http = std::make_shared<http::HttpRequest>();
  Request.m_Answer = [this](http::HttpResponse Response) {
    m_Answers.push_back(std::move(Response));
  };
  Request.m_Route.m_Service = "orders";
  Request.m_Context = ContextId{1, 2};
  Request.m_Deadline = m_Now + Timeout;
  m_Entry.submit(std::move(Request), m_Now);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(m_Answers[0].m_Status, 401);
}

TEST_F(EntrySideTest, Submit_TargetRepeatsItsCall_IsDrawnFromTheBudget) {
  CallContext Context;
  Context.m_Customer = "acme";
  Context.m_Deadline = m_Now + Timeout;
  ContextId Id = m_Contexts.open(std::move(Context)); // No attempts left.
  for (int Call = 0; Call < 2; ++Call) {
    EntryRequest Request;
    auto Http = std::make_shared<http::HttpRequest>();
    Http->m_Method = "GET";
    Http->m_Path = "/stock";
    Request.m_Http = Http;
    Request.m_Answer = [this](http::HttpResponse Response) {
      m_Answers.push_back(std::move(Response));
    };
    Request.m_Route.m_Service = "orders";
    Request.m_Context = Id;
    Request.m_Deadline = m_Now + Timeout;
    m_Entry.submit(std::move(Request), m_Now);
  }
  EXPECT_EQ(m_Sent.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(problem()["reason"], "retry-budget-spent");
}

} // namespace
} // namespace knapweedloft::app
