#include "ApiDaemon.h"

#include "logservice/LogStore.h"
#include "state/RecordCodec.h"

#include "gtest/gtest.h"
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace knapweedloft::app {
namespace {

using Json = nlohmann::json;
using logservice::LogFaults;

// Long enough that a busy machine runs the threads in between.
constexpr absl::Duration ShortAppend = absl::Milliseconds(500);
constexpr absl::Duration ShortAnswer = absl::Milliseconds(800);

/// What operators are told while the log fails.
class ResourceApiFaultTest : public testing::Test {
protected:
  static ResourceApi::Options hasty() {
    return {.m_AnswerDeadline = ShortAnswer, .m_AppendDeadline = ShortAppend};
  }

  static std::string codeOf(const http::HttpResponse &Answer) {
    return Json::parse(Answer.m_Body).value("code", "");
  }

  logservice::LogStore m_Store;
  ApiDaemon m_Daemon{m_Store.service(), hasty()}; ///< Does not read the log.
  ApiDaemon m_Patient{m_Store.service(),
                      {.m_AnswerDeadline = absl::Minutes(5),
                       .m_AppendDeadline = absl::Minutes(4)}};
};

TEST_F(ResourceApiFaultTest, Put_EachFault_IsAnsweredAsTheTableSays) {
  struct Case {
    const char *m_Name;
    LogFaults m_Faults;
    bool m_IsFollowing; ///< Whether the daemon reads the log.
    int m_Status;
    const char *m_Code;
    std::size_t m_MaxAppends; ///< Records that one request may leave.
  };
  const Case Cases[] = {
      {"down", {.m_IsDown = true}, false, 503, "log-unavailable", 0},
      {"full", {.m_IsFull = true}, false, 507, "log-full", 0},
      {"not-read-back", {}, false, 504, "outcome-unknown", 1},
      {"answers-lost-and-not-read-back",
       {.m_LoseAnswers = 100},
       false,
       504,
       "outcome-unknown",
       100},
      {"answer-lost", {.m_LoseAnswers = 1}, true, 201, "", 2},
      {"stored-twice", {.m_DuplicateAppends = 1}, true, 201, "", 2},
      {"garbage-before", {.m_GarbageRecords = 1}, true, 201, "", 2},
      {"slow", {.m_Slow = absl::Milliseconds(2)}, true, 201, "", 1},
  };
  m_Patient.follow();
  int Number = 0;
  for (const Case &Each : Cases) {
    SCOPED_TRACE(Each.m_Name);
    ApiDaemon &Daemon = Each.m_IsFollowing ? m_Patient : m_Daemon;
    const std::size_t Before = m_Store.end("config");
    m_Store.setFaults(Each.m_Faults);
    const auto Answer =
        Daemon.call("PUT", "/v1/customers/c" + std::to_string(++Number), "{}");
    m_Store.setFaults({});
    EXPECT_EQ(Answer.m_Status, Each.m_Status) << Answer.m_Body;
    EXPECT_EQ(codeOf(Answer), Each.m_Code);
    EXPECT_LE(m_Store.end("config") - Before, Each.m_MaxAppends);
  }
}

TEST_F(ResourceApiFaultTest, Put_RepeatedAfter504_LearnsTheOutcome) {
  const http::HeaderList Headers = {{"Change-Id", "op-1"},
                                    {"If-None-Match", "*"}};
  const auto First = m_Daemon.call("PUT", "/v1/customers/acme", "{}", Headers);
  ASSERT_EQ(First.m_Status, 504);
  const std::string *ChangeId = http::findHeader(First.m_Headers, "Change-Id");
  ASSERT_NE(ChangeId, nullptr);
  EXPECT_EQ(*ChangeId, "op-1");
  m_Patient.follow();
  const auto Second =
      m_Patient.call("PUT", "/v1/customers/acme", "{}", Headers);
  EXPECT_LT(Second.m_Status, 300) << Second.m_Body;
}

TEST_F(ResourceApiFaultTest, Put_NoChangeId_IsToldTheOneThatWasMade) {
  const auto Answer = m_Daemon.call("PUT", "/v1/customers/acme", "{}");
  const std::string *ChangeId = http::findHeader(Answer.m_Headers, "Change-Id");
  ASSERT_NE(ChangeId, nullptr);
  EXPECT_FALSE(ChangeId->empty());
}

TEST_F(ResourceApiFaultTest, Watch_ChangesNoLongerKnown_Is410) {
  state::StateReplica Peer;
  Peer.applyRecord(0, "garbage");
  m_Daemon.m_Replica.loadImage(Peer.image());
  const auto Answer = m_Daemon.call("GET", "/v1/watch?from=0");
  EXPECT_EQ(Answer.m_Status, 410);
}

TEST_F(ResourceApiFaultTest, Stop_RequestsWait_AreAnswered) {
  PendingAnswerPtr Change;
  PendingAnswerPtr Watch;
  {
    ApiDaemon Stopping(m_Store.service());
    Change = Stopping.send(
        {.m_Method = "PUT", .m_Path = "/v1/customers/acme", .m_Body = "{}"});
    Watch = Stopping.send({.m_Method = "GET", .m_Path = "/v1/watch?from=99"});
  }
  EXPECT_EQ(Change->get().m_Status, 504);
  EXPECT_EQ(Watch->get().m_Status, 200);
}

/// Who may drive the API.
class ResourceApiTokenTest : public testing::Test {
protected:
  int statusWith(ApiDaemon &Daemon, const std::string &Authorization,
                 bool IsFromLoopback) {
    http::HttpRequest Request{.m_Method = "GET", .m_Path = "/v1/customers"};
    if (!Authorization.empty())
      Request.m_Headers.push_back({"authorization", Authorization});
    return Daemon.send(Request, IsFromLoopback)->get().m_Status;
  }

  logservice::LogStore m_Store;
};

TEST_F(ResourceApiTokenTest, Call_TokenSet_ServesOnlyItsBearer) {
  ApiDaemon Daemon(m_Store.service(), {.m_Token = "secret"});
  EXPECT_EQ(statusWith(Daemon, "Bearer secret", false), 200);
  EXPECT_EQ(statusWith(Daemon, "Bearer secre", true), 401);
  EXPECT_EQ(statusWith(Daemon, "Basic secret", true), 401);
  EXPECT_EQ(statusWith(Daemon, "", true), 401);
}

TEST_F(ResourceApiTokenTest, Call_NoTokenSet_ServesOnlyLoopback) {
  ApiDaemon Daemon(m_Store.service());
  EXPECT_EQ(statusWith(Daemon, "", true), 200);
  EXPECT_EQ(statusWith(Daemon, "", false), 403);
}

/// How the status of a revision is counted.
class ResourceApiStatusTest : public testing::Test {
protected:
  ResourceApiStatusTest() {
    for (const char *Name : {"a1", "a2", "a3"})
      m_Store.append("config",
                     state::encodeRecord(
                         {.m_Entry = state::Join{{.m_Name = Name,
                                                  .m_Incarnation = 1,
                                                  .m_Link = {"127.0.0.1", 1},
                                                  .m_Region = "r",
                                                  .m_DataCenter = "dc"}}}));
    m_Daemon.follow();
  }

  void setApplied(const std::vector<AppliedOffset> &Members) {
    constexpr std::size_t MaxNamed = 8;
    m_Applied = AppliedSummary::of(Members.front());
    for (std::size_t Index = 1; Index < Members.size(); ++Index)
      m_Applied.merge(AppliedSummary::of(Members[Index]), MaxNamed);
  }

  logservice::LogStore m_Store;
  AppliedSummary m_Applied;
  ApiDaemon m_Daemon{m_Store.service(),
                     {.m_Applied = [this] { return m_Applied; }}};
};

TEST_F(ResourceApiStatusTest, Status_SomeBehindOrUnknown_NamesThem) {
  m_Daemon.call("PUT", "/v1/customers/acme", "{}");
  setApplied({{"a1", 1, 4}, {"a2", 1, 3}});
  const Json Body =
      Json::parse(m_Daemon.call("GET", "/v1/customers/acme/status").m_Body);
  EXPECT_EQ(Body["revision"], 4);
  EXPECT_EQ(Body["members"], 3);
  EXPECT_EQ(Body["applied"], 1);
  EXPECT_EQ(Body["behind"], Json::array({"a2"}));
  EXPECT_EQ(Body["unknown"], 1);
  EXPECT_EQ(Body["in_force"], false);
}

TEST_F(ResourceApiStatusTest, Status_AllApplied_IsInForce) {
  m_Daemon.call("PUT", "/v1/customers/acme", "{}");
  setApplied({{"a1", 1, 4}, {"a2", 1, 5}, {"a3", 1, 4}});
  const auto Answer = m_Daemon.call("GET", "/v1/status?revision=4");
  EXPECT_EQ(Json::parse(Answer.m_Body)["in_force"], true);
}

TEST_F(ResourceApiStatusTest, Status_RevisionNotReached_IsNotInForce) {
  m_Daemon.call("PUT", "/v1/customers/acme", "{}");
  setApplied({{"a1", 1, 9}, {"a2", 1, 9}, {"a3", 1, 9}});
  const auto Answer = m_Daemon.call("GET", "/v1/status?revision=9");
  EXPECT_EQ(Json::parse(Answer.m_Body)["in_force"], false);
}

} // namespace
} // namespace knapweedloft::app
