#include "app/TargetSide.h"

#include "app/RequestHeaders.h"
#include "policy/RateShard.h"
#include "state/KeyText.h"
#include "state/RecordCodec.h"
#include "state/StateReplica.h"

#include "gtest/gtest.h"

#include <map>
#include <vector>

namespace knapweedloft::app {
namespace {

using model::Ran;
using model::RefusalReason;

constexpr link::PeerHandle Entry{5};
constexpr model::Incarnation Self = 42;

/// A target side whose target, links and clock are in the test's hands.
class TargetSideTest : public testing::Test {
protected:
  TargetSideTest() {
    put(model::Customer{"acme", ""});
    put(model::Key{"k1", "acme", state::digestOf("secret")});
    announce(7);
  }

  void put(model::Resource What) {
    state::ResourceChange Change;
    Change.m_ChangeId = "c" + std::to_string(m_Replica.offset());
    Change.m_Kind = model::kindOf(What);
    Change.m_Name = model::nameOf(What);
    Change.m_Resource = std::move(What);
    state::Record Record{.m_Entry = std::move(Change)};
    m_Replica.applyRecord(m_Replica.offset(), state::encodeRecord(Record));
  }

  void announce(std::uint64_t Instance,
                TargetState State = TargetState::Ready) {
    m_Target.onAnnouncement({.m_Service = "orders",
                             .m_At = {"127.0.0.1", 9000},
                             .m_State = State,
                             .m_Instance = Instance},
                            m_Now);
  }

  TargetSide::Options options() {
    TargetSide::Options Options;
    Options.m_Self = Self;
    Options.m_Hooks.m_Answer = [this](link::PeerHandle To,
                                      wire::AnswerT Answer) {
      EXPECT_EQ(To, Entry);
      m_Answers.push_back(std::move(Answer));
    };
    Options.m_Hooks.m_Call = [this](const std::string &, http::HttpRequest Http,
                                    absl::Duration,
                                    TargetSide::Hooks::Done OnDone) {
      m_Requests.push_back(std::move(Http));
      m_Calls[++m_LastCall] = std::move(OnDone);
      return m_LastCall;
    };
    Options.m_Hooks.m_CancelCall = [this](http::HttpClient::CallId Call) {
      m_Cancelled.push_back(Call);
    };
    Options.m_Hooks.m_Fate = [this](link::PeerHandle,
                                    wire::FateAnswerT Answer) {
      m_Fates.push_back(Answer.fate);
    };
    Options.m_Hooks.m_TellSuspects = [this](const wire::SuspectsT &News) {
      m_News.push_back(News);
      return m_Peers;
    };
    Options.m_Hooks.m_PutAside = [this](model::Fingerprint Print) {
      m_Aside.push_back(Print);
    };
    Options.m_Dedupe.m_Hooks.m_Second =
        [this](const std::string &) -> std::optional<model::Member> {
      if (!m_HasSecond)
        return std::nullopt;
      return model::Member();
    };
    Options.m_Dedupe.m_Hooks.m_Store = [this](const model::Member &,
                                              wire::DedupeStoreT Message) {
      m_Stores.push_back(std::move(Message));
      return true;
    };
    Options.m_Hooks.m_SenderNow = [this](link::PeerHandle, absl::Time) {
      return m_SenderNow;
    };
    Options.m_Hooks.m_Wake = [](absl::Time) {};
    return Options;
  }

  static wire::ForwardT forward(std::uint64_t Sequence) {
    wire::ForwardT Message;
    Message.id = {1, Sequence};
    Message.to_incarnation = Self;
    Message.method = "POST";
    Message.path = "/orders";
    Message.service = "orders";
    Message.customer = "acme";
    model::KeyDigest Digest = state::digestOf("secret");
    Message.key_digest.assign(Digest.begin(), Digest.end());
    Message.priority = static_cast<std::uint8_t>(model::Priority::Normal);
    Message.remaining_us = 1'000'000;
    return Message;
  }

  void send(wire::ForwardT Message) {
    m_Target.onForward(Entry, Message, *m_Replica.store().share(), m_Now);
  }

  static wire::ForwardT keyed(std::uint64_t Sequence,
                              model::Fingerprint Print = 5) {
    wire::ForwardT Message = forward(Sequence);
    Message.idempotency_key = "k-1";
    Message.fingerprint = Print;
    return Message;
  }

  static wire::ForwardT printed(std::uint64_t Sequence) {
    wire::ForwardT Message = forward(Sequence);
    Message.fingerprint = Sequence;
    return Message;
  }

  void pass(absl::Duration Time) {
    m_Now += Time;
    m_Target.tick(m_Now);
  }

  void query(std::uint64_t Sequence, model::Incarnation Life = Self) {
    wire::FateQueryT Query;
    Query.id = {1, Sequence};
    Query.to_incarnation = Life;
    m_Target.onQuery(Entry, Query, m_Now);
  }

  void finish(http::HttpClient::CallId Call, http::Failure Failure,
              std::string Body = "") {
    http::HttpResult Result;
    Result.m_Failure = Failure;
    Result.m_Response.m_Body = std::move(Body);
    Result.m_Latency = absl::Milliseconds(2);
    TargetSide::Hooks::Done OnDone = std::move(m_Calls.at(Call));
    m_Calls.erase(Call);
    OnDone(std::move(Result), m_Now);
  }

  [[nodiscard]] RefusalReason reason(std::size_t Index) const {
    return static_cast<RefusalReason>(m_Answers.at(Index).refusal);
  }
  [[nodiscard]] Ran ran(std::size_t Index) const {
    return static_cast<Ran>(m_Answers.at(Index).ran);
  }

  absl::Time m_Now = absl::UnixEpoch() + absl::Hours(1);
  absl::Time m_SenderNow = absl::UnixEpoch() + absl::Hours(9);
  state::StateReplica m_Replica;
  std::uint64_t m_Bits = 0;
  ContextTable m_Contexts{[this] { return ++m_Bits; }};
  http::HttpClient::CallId m_LastCall = 0;
  std::map<http::HttpClient::CallId, TargetSide::Hooks::Done> m_Calls;
  std::vector<http::HttpRequest> m_Requests;
  std::vector<http::HttpClient::CallId> m_Cancelled;
  std::vector<wire::AnswerT> m_Answers;
  std::vector<wire::Fate> m_Fates;
  std::vector<wire::SuspectsT> m_News;
  std::size_t m_Peers = 0;
  std::vector<model::Fingerprint> m_Aside;
  bool m_HasSecond = false;
  std::vector<wire::DedupeStoreT> m_Stores;
  TargetSide m_Target{options(), m_Contexts, m_Now};
};

TEST_F(TargetSideTest, OnForward_TargetAnswers_AnswerIsWholeAndItsOwn) {
  send(forward(1));
  send(forward(2));
  ASSERT_EQ(m_Requests.size(), 2U);
  finish(2, http::Failure::None, "two");
  finish(1, http::Failure::None, "one");
  ASSERT_EQ(m_Answers.size(), 2U);
  EXPECT_EQ(m_Answers[0].id.sequence(), 2U);
  EXPECT_EQ(toText(m_Answers[0].body), "two");
  EXPECT_EQ(m_Answers[1].id.sequence(), 1U);
  EXPECT_EQ(toText(m_Answers[1].body), "one");
  EXPECT_EQ(m_Target.pending(), 0U);
}

TEST_F(TargetSideTest, OnForward_ToFormerIncarnation_IsRefusedAsNotRun) {
  wire::ForwardT Message = forward(1);
  Message.to_incarnation = Self + 1;
  send(std::move(Message));
  EXPECT_EQ(reason(0), RefusalReason::WrongIncarnation);
  EXPECT_EQ(ran(0), Ran::No);
  EXPECT_TRUE(m_Requests.empty());
}

TEST_F(TargetSideTest, OnForward_KeyWithdrawnHere_IsRefusedThoughEntryLetIt) {
  state::ResourceChange Change;
  Change.m_ChangeId = "withdraw";
  Change.m_Kind = model::ResourceKind::Key;
  Change.m_Name = "k1";
  state::Record Record{.m_Entry = std::move(Change)};
  m_Replica.applyRecord(m_Replica.offset(), state::encodeRecord(Record));
  send(forward(1));
  EXPECT_EQ(reason(0), RefusalReason::BadKey);
  EXPECT_TRUE(m_Requests.empty());
}

TEST_F(TargetSideTest, OnForward_SenderPausedPastItsGrant_IsRefusedAsNotRun) {
  wire::ForwardT Message = forward(1);
  Message.grant_expires_us = static_cast<std::uint64_t>(
      absl::ToUnixMicros(m_SenderNow + absl::Milliseconds(1)));
  m_SenderNow += absl::Milliseconds(2);
  send(std::move(Message));
  EXPECT_EQ(reason(0), RefusalReason::StaleGrant);
  EXPECT_EQ(ran(0), Ran::No);
  EXPECT_TRUE(m_Requests.empty());
}

TEST_F(TargetSideTest, OnForward_GrantInForce_Runs) {
  wire::ForwardT Message = forward(1);
  Message.grant_expires_us = static_cast<std::uint64_t>(
      absl::ToUnixMicros(m_SenderNow + absl::Milliseconds(1)));
  send(std::move(Message));
  EXPECT_EQ(m_Requests.size(), 1U);
}

TEST_F(TargetSideTest, OnForward_GrantOfAReplacedKeeper_IsRefused) {
  state::KeeperClaim Claim;
  Claim.m_Shard = policy::rateShardOf("acme");
  Claim.m_Name = "a-1";
  Claim.m_Incarnation = 1;
  state::Record Join{.m_Entry =
                         state::Join{{.m_Name = "a-1", .m_Incarnation = 1}}};
  m_Replica.applyRecord(m_Replica.offset(), state::encodeRecord(Join));
  state::Record Record{.m_Entry = Claim};
  m_Replica.applyRecord(m_Replica.offset(), state::encodeRecord(Record));
  ASSERT_EQ(m_Replica.store().share()->keeperOf(Claim.m_Shard).m_Epoch, 1U);
  wire::ForwardT Message = forward(1);
  Message.grant_epoch = 0;
  Message.grant_expires_us = static_cast<std::uint64_t>(
      absl::ToUnixMicros(m_SenderNow + absl::Seconds(1)));
  send(std::move(Message));
  EXPECT_EQ(reason(0), RefusalReason::StaleGrant);
}

TEST_F(TargetSideTest, OnForward_KeyOfAnotherCustomer_IsRefused) {
  wire::ForwardT Message = forward(1);
  Message.customer = "zeta";
  send(std::move(Message));
  EXPECT_EQ(reason(0), RefusalReason::BadKey);
}

TEST_F(TargetSideTest, OnForward_KeyNotHeardOfHereYet_IsLeftToTheEntry) {
  wire::ForwardT Message = forward(1);
  Message.key_digest[0] ^= 1;
  Message.state_offset = m_Replica.offset() + 1;
  send(std::move(Message));
  EXPECT_EQ(m_Requests.size(), 1U);
}

TEST_F(TargetSideTest, OnForward_DigestCutShort_IsRefused) {
  wire::ForwardT Message = forward(1);
  Message.key_digest.resize(16);
  send(std::move(Message));
  EXPECT_EQ(reason(0), RefusalReason::BadKey);
}

TEST_F(TargetSideTest, OnForward_Draining_IsRefusedAndRunningGoesOn) {
  send(forward(1));
  announce(7, TargetState::Draining);
  send(forward(2));
  EXPECT_EQ(reason(0), RefusalReason::NoTarget);
  EXPECT_EQ(ran(0), Ran::No);
  finish(1, http::Failure::None, "done");
  EXPECT_EQ(toText(m_Answers[1].body), "done");
}

// Guards against a late announcement that takes back a leaving.
TEST_F(TargetSideTest, OnAnnouncement_ReadyOfLifeThatLeft_StaysClosed) {
  announce(7, TargetState::Draining);
  announce(7, TargetState::Ready);
  send(forward(1));
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(reason(0), RefusalReason::NoTarget);
  announce(8, TargetState::Ready);
  send(forward(2));
  EXPECT_EQ(m_Requests.size(), 1U);
}

// Guards against requests that waited for the former service of an address and
// are run by the next.
TEST_F(TargetSideTest, OnAnnouncement_OtherService_QueuedAreRefusedAsNotRun) {
  constexpr std::uint64_t Sent = 100;
  for (std::uint64_t Index = 1; Index <= Sent; ++Index)
    send(forward(Index));
  std::size_t Running = m_Requests.size();
  std::size_t Queued = Sent - Running - m_Answers.size();
  ASSERT_GT(Queued, 0U);
  std::size_t Before = m_Answers.size();
  m_Target.onAnnouncement(
      {.m_Service = "archive", .m_At = {"127.0.0.1", 9000}, .m_Instance = 8},
      m_Now);
  for (std::uint64_t Call = 1; Call <= Running; ++Call)
    finish(Call, http::Failure::None, "done");
  pass(absl::Milliseconds(50));
  pass(absl::Seconds(2));
  EXPECT_EQ(m_Requests.size(), Running);
  EXPECT_EQ(m_Answers.size(), Before + Running + Queued);
  for (std::size_t Index = 0; Index < m_Answers.size(); ++Index) {
    if (m_Answers[Index].refusal != 0) {
      EXPECT_EQ(ran(Index), Ran::No);
    }
  }
}

TEST_F(TargetSideTest, OnResult_ConnectionBrokeHalfWay_IsNeverPassedAsWhole) {
  send(forward(1));
  finish(1, http::Failure::Cut, "half of it");
  pass(absl::Milliseconds(200));
  EXPECT_EQ(reason(0), RefusalReason::BadAnswer);
  EXPECT_EQ(ran(0), Ran::Unknown);
  EXPECT_TRUE(m_Answers[0].body.empty());
}

TEST_F(TargetSideTest, OnResult_ConnectionRefused_SaysNotRun) {
  send(forward(1));
  finish(1, http::Failure::NotSent);
  EXPECT_EQ(reason(0), RefusalReason::NoTarget);
  EXPECT_EQ(ran(0), Ran::No);
}

TEST_F(TargetSideTest, OnCancel_Running_ClosesTheCall) {
  send(forward(1));
  m_Target.onCancel({1, 1}, m_Now);
  EXPECT_EQ(m_Cancelled.size(), 1U);
}

TEST_F(TargetSideTest, OnForward_Running_ContextLivesJustAsLong) {
  send(forward(1));
  const std::string *Context =
      http::findHeader(m_Requests.at(0).m_Headers, ContextHeader);
  ASSERT_NE(Context, nullptr);
  auto Id = contextFromText(*Context);
  ASSERT_TRUE(Id);
  ASSERT_NE(m_Contexts.find(*Id), nullptr);
  EXPECT_EQ(m_Contexts.find(*Id)->m_Customer, "acme");
  finish(1, http::Failure::None);
  EXPECT_EQ(m_Contexts.find(*Id), nullptr);
}

TEST_F(TargetSideTest, StopIntake_NewForward_IsRefusedRunningFinishes) {
  send(forward(1));
  m_Target.stopIntake();
  send(forward(2));
  EXPECT_EQ(reason(0), RefusalReason::Stopping);
  finish(1, http::Failure::None, "done");
  EXPECT_EQ(toText(m_Answers[1].body), "done");
}

TEST_F(TargetSideTest, OnQuery_BeforeTheForward_NeverRunsIt) {
  query(1);
  ASSERT_EQ(m_Fates.size(), 1U);
  EXPECT_EQ(m_Fates[0], wire::Fate::NotRun);
  m_Now += absl::Hours(1);
  send(forward(1));
  EXPECT_TRUE(m_Requests.empty());
  EXPECT_TRUE(m_Answers.empty());
}

TEST_F(TargetSideTest, OnQuery_Finished_SendsTheAnswerAgain) {
  send(forward(1));
  finish(1, http::Failure::None, "printed");
  query(1);
  EXPECT_EQ(m_Fates.at(0), wire::Fate::Finished);
  ASSERT_EQ(m_Answers.size(), 2U);
  EXPECT_EQ(toText(m_Answers[1].body), "printed");
  EXPECT_EQ(m_Requests.size(), 1U);
}

TEST_F(TargetSideTest, OnQuery_Running_SaysSoAndAnswersOnce) {
  send(forward(1));
  query(1);
  EXPECT_EQ(m_Fates.at(0), wire::Fate::Running);
  finish(1, http::Failure::None, "printed");
  EXPECT_EQ(m_Answers.size(), 1U);
}

TEST_F(TargetSideTest, OnQuery_OfFormerIncarnation_SaysUnknown) {
  query(1, Self - 1);
  EXPECT_EQ(m_Fates.at(0), wire::Fate::Unknown);
}

TEST_F(TargetSideTest, OnForward_RefusedThenSecondCopy_StaysRefused) {
  announce(7, TargetState::Draining);
  send(forward(1));
  ASSERT_EQ(ran(0), Ran::No);
  announce(7);
  send(forward(1));
  EXPECT_TRUE(m_Requests.empty());
  EXPECT_EQ(ran(1), Ran::No);
}

TEST_F(TargetSideTest, OnForward_SameKeyTwice_OneRunsBothGetItsAnswer) {
  send(keyed(1));
  send(keyed(2));
  EXPECT_EQ(m_Requests.size(), 1U);
  finish(1, http::Failure::None, "printed");
  send(keyed(3));
  EXPECT_EQ(m_Requests.size(), 1U);
  ASSERT_EQ(m_Answers.size(), 3U);
  for (const wire::AnswerT &Answer : m_Answers)
    EXPECT_EQ(toText(Answer.body), "printed");
  EXPECT_TRUE(m_Answers[2].is_replayed);
}

TEST_F(TargetSideTest, OnForward_SameKeyOtherRequest_IsMismatch) {
  send(keyed(1));
  send(keyed(2, 6));
  EXPECT_EQ(reason(0), RefusalReason::IdempotencyMismatch);
  EXPECT_EQ(m_Requests.size(), 1U);
}

TEST_F(TargetSideTest, OnForward_KeyedRunIsCut_ResendHearsUnknown) {
  send(keyed(1));
  finish(1, http::Failure::Cut);
  pass(absl::Milliseconds(500));
  send(keyed(2));
  EXPECT_EQ(m_Requests.size(), 1U);
  EXPECT_EQ(ran(1), Ran::Unknown);
}

TEST_F(TargetSideTest, OnForward_KeyNotYetStoredAtSecond_DoesNotRun) {
  m_HasSecond = true;
  send(keyed(1));
  ASSERT_EQ(m_Stores.size(), 1U);
  EXPECT_TRUE(m_Requests.empty());
  wire::DedupeAckT Ack;
  Ack.sequence = m_Stores[0].sequence;
  m_Target.dedupe().onAck(Ack, m_Now);
  EXPECT_EQ(m_Requests.size(), 1U);
}

TEST_F(TargetSideTest, OnForward_SecondDoesNotAnswer_IsRefusedAsNotRun) {
  m_HasSecond = true;
  send(keyed(1));
  pass(absl::Seconds(1));
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(ran(0), Ran::No);
  EXPECT_TRUE(m_Requests.empty());
}

TEST_F(TargetSideTest, OnForward_SecondKnowsTheKey_ItsAnswerIsReplayed) {
  m_HasSecond = true;
  send(keyed(1));
  wire::DedupeAckT Ack;
  Ack.sequence = m_Stores.at(0).sequence;
  auto Entry = std::make_unique<wire::DedupeEntryT>(*m_Stores[0].entries[0]);
  Entry->state = static_cast<std::uint8_t>(policy::DedupeState::Finished);
  Entry->answer = std::make_unique<wire::AnswerT>();
  Entry->answer->body = toBytes("from before");
  Ack.entries.push_back(std::move(Entry));
  m_Target.dedupe().onAck(Ack, m_Now);
  EXPECT_TRUE(m_Requests.empty());
  ASSERT_EQ(m_Answers.size(), 1U);
  EXPECT_EQ(toText(m_Answers[0].body), "from before");
}

TEST_F(TargetSideTest, OnResult_TargetDiesTwiceUnderOneRequest_PutsItAside) {
  send(printed(1));
  send(printed(2));
  finish(1, http::Failure::Cut);
  finish(2, http::Failure::Cut);
  pass(absl::Milliseconds(200));
  ASSERT_EQ(m_News.size(), 1U);
  EXPECT_EQ(m_News[0].suspects.size(), 2U);
  // Both are sent again; the first runs alone and kills once more.
  wire::ForwardT Again = printed(1);
  Again.id = {1, 11};
  send(std::move(Again));
  wire::ForwardT Company = printed(2);
  Company.id = {1, 12};
  send(std::move(Company));
  ASSERT_EQ(m_Requests.size(), 3U);
  finish(3, http::Failure::Cut);
  pass(absl::Milliseconds(200));
  EXPECT_EQ(m_Aside, std::vector<model::Fingerprint>{1});
  ASSERT_EQ(m_Requests.size(), 4U);
  finish(4, http::Failure::None, "printed");
  EXPECT_EQ(toText(m_Answers.back().body), "printed");
  wire::ForwardT Third = printed(1);
  Third.id = {1, 13};
  send(std::move(Third));
  EXPECT_EQ(m_Requests.size(), 4U);
  EXPECT_EQ(reason(m_Answers.size() - 1), RefusalReason::Quarantined);
}

TEST_F(TargetSideTest, OnResult_TargetDies_AnswersWaitForPeersToKnow) {
  m_Peers = 1;
  send(printed(1));
  finish(1, http::Failure::Cut);
  pass(absl::Milliseconds(40));
  ASSERT_EQ(m_News.size(), 1U);
  EXPECT_TRUE(m_Answers.empty());
  m_Target.onSuspectsAck(m_News[0].sequence, m_Now);
  EXPECT_EQ(m_Answers.size(), 1U);
}

TEST_F(TargetSideTest, OnResult_OneConnectionBreaksOthersAnswer_IsNoDeath) {
  send(printed(1));
  send(printed(2));
  finish(1, http::Failure::Cut);
  finish(2, http::Failure::None, "printed");
  pass(absl::Milliseconds(200));
  EXPECT_TRUE(m_News.empty());
  EXPECT_EQ(m_Answers.size(), 2U);
}

} // namespace
} // namespace knapweedloft::app
