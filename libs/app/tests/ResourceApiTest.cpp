#include "ApiDaemon.h"

#include "logservice/LogStore.h"
#include "state/KeyText.h"
#include "state/RecordCodec.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include <nlohmann/json.hpp>

#include <string>

namespace knapweedloft::app {
namespace {

using Json = nlohmann::json;
using testing::HasSubstr;

Json bodyOf(const http::HttpResponse &Answer) {
  return Json::parse(Answer.m_Body);
}

std::string headerOf(const http::HttpResponse &Answer, const char *Name) {
  const std::string *Value = http::findHeader(Answer.m_Headers, Name);
  return Value == nullptr ? "" : *Value;
}

/// The contract of the resource API, on two daemons and one log.
class ResourceApiTest : public testing::Test {
protected:
  ResourceApiTest() {
    m_Daemon.follow();
    m_Other.follow();
  }

  http::HttpResponse putCustomer(const std::string &Name,
                                 const http::HeaderList &Headers = {}) {
    return m_Daemon.call("PUT", "/v1/customers/" + Name, "{}", Headers);
  }

  logservice::LogStore m_Store;
  ApiDaemon m_Daemon{m_Store.service()};
  ApiDaemon m_Other{m_Store.service()};
};

TEST_F(ResourceApiTest, Put_NewResource_IsReadBackAndTagged) {
  const auto Answer =
      m_Daemon.call("PUT", "/v1/customers/acme", R"({"display_name": "Acme"})");
  EXPECT_EQ(Answer.m_Status, 201);
  EXPECT_EQ(headerOf(Answer, "ETag"), "\"1\"");
  const auto Read = m_Daemon.call("GET", "/v1/customers/acme");
  EXPECT_EQ(Read.m_Status, 200);
  EXPECT_EQ(headerOf(Read, "ETag"), "\"1\"");
  EXPECT_EQ(bodyOf(Read)["display_name"], "Acme");
}

TEST_F(ResourceApiTest, Put_EveryKind_ComesBackAsItWas) {
  putCustomer("acme");
  const std::string Digest = state::hexOf(state::digestOf("x"));
  const std::pair<std::string, Json> Cases[] = {
      {"keys/k", {{"customer", "acme"}, {"digest", Digest}}},
      {"rates/acme", {{"per_second", 2.5}, {"burst", 10.0}}},
      {"routes/r",
       {{"path_prefix", "/orders"},
        {"method", "POST"},
        {"service", "orders"},
        {"priority", "high"},
        {"open", false},
        {"idempotent", true},
        {"timeout_ms", 250}}},
      {"withdrawals/w", {{"scope", "data-center"}, {"subject", "dc1"}}},
      {"quarantines/00000000000000ff",
       {{"reason", "two deaths"}, {"expires", "2030-01-02T03:04:05+00:00"}}}};
  for (const auto &[Path, Fields] : Cases) {
    SCOPED_TRACE(Path);
    EXPECT_EQ(m_Daemon.call("PUT", "/v1/" + Path, Fields.dump()).m_Status, 201);
    const Json Read = bodyOf(m_Daemon.call("GET", "/v1/" + Path));
    for (const auto &[Name, Value] : Fields.items())
      EXPECT_EQ(Read[Name], Value) << Name;
  }
}

TEST_F(ResourceApiTest, Put_BadBody_NamesTheField) {
  struct Case {
    const char *m_Path;
    const char *m_Body;
    const char *m_Field;
  };
  const Case Cases[] = {
      {"customers/a", "[]", ""},
      {"customers/a", "{", ""},
      {"customers/a", R"({"nam": "a"})", "nam"},
      {"customers/a", R"({"name": "b"})", "name"},
      {"customers/a", R"({"display_name": 7})", "display_name"},
      {"customers/A", "{}", "name"},
      {"rates/a", R"({"per_second": "1", "burst": 1})", "per_second"},
      {"rates/a", R"({"per_second": 0, "burst": 1})", "per_second"},
      {"rates/a", R"({"per_second": 1, "burst": 0.5})", "burst"},
      {"rates/a", R"({"per_second": 1})", "burst"},
      {"keys/k", R"({"customer": "a", "digest": "ff"})", "digest"},
      {"routes/r", R"({"path_prefix": "x", "service": "s"})", "path_prefix"},
      {"routes/r", R"({"path_prefix": "/", "service": "s", "priority": "top"})",
       "priority"},
      {"routes/r", R"({"path_prefix": "/", "service": "s", "open": 1})",
       "open"},
      {"routes/r",
       R"({"path_prefix": "/", "service": "s", "timeout_ms": 1e30})",
       "timeout_ms"},
      {"withdrawals/w", R"({"scope": "rack", "subject": "a"})", "scope"},
      {"quarantines/12", R"({"expires": "2030-01-01T00:00:00Z"})", "name"},
      {"quarantines/00000000000000ff", R"({"expires": "soon"})", "expires"},
  };
  for (const Case &Each : Cases) {
    SCOPED_TRACE(std::string(Each.m_Path) + " " + Each.m_Body);
    const auto Answer =
        m_Daemon.call("PUT", std::string("/v1/") + Each.m_Path, Each.m_Body);
    EXPECT_EQ(Answer.m_Status, 400);
    EXPECT_EQ(headerOf(Answer, "Content-Type"), "application/problem+json");
    EXPECT_EQ(bodyOf(Answer).value("field", ""), Each.m_Field);
  }
  EXPECT_EQ(m_Store.end("config"), 0U);
}

TEST_F(ResourceApiTest, Calls_UnknownPathOrMethod_AreRefused) {
  const std::tuple<const char *, const char *, int> Cases[] = {
      {"GET", "/v1/customers/nobody", 404},
      {"GET", "/v1/things", 404},
      {"GET", "/customers", 404},
      {"GET", "/v1/customers/a/b/c", 404},
      {"POST", "/v1/customers", 405},
      {"DELETE", "/v1/customers", 405},
      {"PATCH", "/v1/customers/a", 405},
      {"PUT", "/v1/watch", 405},
      {"GET", "/v1/watch?from=x", 400},
      {"DELETE", "/v1/customers/nobody", 404},
  };
  for (const auto &[Method, Path, Status] : Cases)
    EXPECT_EQ(m_Daemon.call(Method, Path).m_Status, Status)
        << Method << " " << Path;
}

TEST_F(ResourceApiTest, Put_TwoDaemonsRace_OneWinsAndOneGets412) {
  putCustomer("acme");
  const http::HttpRequest Request{.m_Method = "PUT",
                                  .m_Path = "/v1/customers/acme",
                                  .m_Headers = {{"If-Match", "\"1\""}},
                                  .m_Body = "{}"};
  const auto First = m_Daemon.send(Request);
  const auto Second = m_Other.send(Request);
  const std::multiset<int> Statuses{First->get().m_Status,
                                    Second->get().m_Status};
  EXPECT_THAT(Statuses,
              testing::UnorderedElementsAre(testing::AnyOf(200, 201), 412));
}

TEST_F(ResourceApiTest, Put_IfNoneMatchStar_OnlyCreates) {
  const http::HeaderList OnlyNew = {{"If-None-Match", "*"}};
  EXPECT_EQ(putCustomer("acme", OnlyNew).m_Status, 201);
  const auto Second = putCustomer("acme", OnlyNew);
  EXPECT_EQ(Second.m_Status, 412);
  EXPECT_EQ(bodyOf(Second)["code"], "revision-mismatch");
}

TEST_F(ResourceApiTest, Delete_StaleRevision_IsRefused) {
  putCustomer("acme");
  putCustomer("acme", {{"If-Match", "\"1\""}});
  const auto Stale = m_Daemon.call("DELETE", "/v1/customers/acme", "",
                                   {{"If-Match", "\"1\""}});
  EXPECT_EQ(Stale.m_Status, 412);
  EXPECT_EQ(m_Daemon.call("DELETE", "/v1/customers/acme").m_Status, 200);
  EXPECT_EQ(m_Daemon.call("GET", "/v1/customers/acme").m_Status, 404);
}

TEST_F(ResourceApiTest, Put_IfMatchNotUnderstood_Is400) {
  EXPECT_EQ(putCustomer("a", {{"If-Match", "1"}}).m_Status, 400);
  EXPECT_EQ(putCustomer("a", {{"If-Match", "W/\"1\""}}).m_Status, 400);
  EXPECT_EQ(putCustomer("a", {{"If-Match", "*"}}).m_Status, 412);
}

TEST_F(ResourceApiTest, Get_SameEtag_Is304) {
  putCustomer("acme");
  const auto Answer = m_Daemon.call("GET", "/v1/customers/acme", "",
                                    {{"If-None-Match", "\"1\""}});
  EXPECT_EQ(Answer.m_Status, 304);
}

TEST_F(ResourceApiTest, Put_ReferenceToNothing_IsRefused) {
  const auto Answer = m_Daemon.call("PUT", "/v1/rates/nobody",
                                    R"({"per_second": 1, "burst": 1})");
  EXPECT_EQ(Answer.m_Status, 409);
  EXPECT_EQ(bodyOf(Answer)["code"], "unknown-customer");
}

TEST_F(ResourceApiTest, Put_AnswerOfLogLost_IsMadeOnceAndAnswered) {
  m_Store.setFaults({.m_LoseAnswers = 1});
  EXPECT_EQ(putCustomer("acme", {{"If-None-Match", "*"}}).m_Status, 201);
  EXPECT_EQ(bodyOf(m_Daemon.call("GET", "/v1/customers/acme"))["revision"], 1);
}

TEST_F(ResourceApiTest, Put_RecordStoredTwice_AppliesOnce) {
  m_Store.setFaults({.m_DuplicateAppends = 1});
  EXPECT_EQ(putCustomer("acme").m_Status, 201);
  EXPECT_EQ(putCustomer("zeta").m_Status, 201);
  EXPECT_EQ(bodyOf(m_Daemon.call("GET", "/v1/customers/acme"))["revision"], 1);
}

TEST_F(ResourceApiTest, Put_SameChangeIdAgain_HasTheFirstOutcome) {
  const http::HeaderList Headers = {{"Change-Id", "op-1"},
                                    {"If-None-Match", "*"}};
  const auto First = putCustomer("acme", Headers);
  const auto Second = putCustomer("acme", Headers);
  EXPECT_EQ(First.m_Status, 201);
  EXPECT_EQ(headerOf(First, "Change-Id"), "op-1");
  EXPECT_EQ(Second.m_Status, 200);
  EXPECT_EQ(headerOf(Second, "ETag"), headerOf(First, "ETag"));
  EXPECT_EQ(m_Store.end("config"), 1U);
}

TEST_F(ResourceApiTest, Put_ChangeIdUsedForSomethingElse_IsAChangeOfItsOwn) {
  const http::HeaderList Headers = {{"Change-Id", "op-1"}};
  putCustomer("acme", Headers);
  EXPECT_EQ(putCustomer("zeta", Headers).m_Status, 201);
  EXPECT_EQ(m_Daemon.call("GET", "/v1/customers/zeta").m_Status, 200);
}

TEST_F(ResourceApiTest, PostKey_Customer_ShowsAKeyThatWorksOnce) {
  putCustomer("acme");
  const auto Answer =
      m_Daemon.call("POST", "/v1/keys", R"({"customer": "acme", "name": "k"})");
  EXPECT_EQ(Answer.m_Status, 201);
  EXPECT_EQ(headerOf(Answer, "Cache-Control"), "no-store");
  const std::string Text = bodyOf(Answer)["key"];
  EXPECT_TRUE(state::isKeyText(Text));
  const auto State = m_Daemon.m_Replica.store().share();
  const model::Key *Found = State->findKey(state::digestOf(Text));
  ASSERT_NE(Found, nullptr);
  EXPECT_EQ(Found->m_Customer, "acme");
  EXPECT_THAT(m_Daemon.call("GET", "/v1/keys/k").m_Body,
              testing::Not(HasSubstr(Text)));
}

TEST_F(ResourceApiTest, PostKey_RepeatedAfterLostAnswer_SaysItWasMadeBefore) {
  putCustomer("acme");
  const http::HeaderList Headers = {{"Change-Id", "op-1"}};
  const std::string Body = R"({"customer": "acme"})";
  EXPECT_EQ(m_Daemon.call("POST", "/v1/keys", Body, Headers).m_Status, 201);
  const auto Second = m_Daemon.call("POST", "/v1/keys", Body, Headers);
  EXPECT_EQ(Second.m_Status, 409);
  EXPECT_EQ(bodyOf(Second)["code"], "key-made-before");
  EXPECT_EQ(bodyOf(m_Daemon.call("GET", "/v1/keys"))["items"].size(), 1U);
}

TEST_F(ResourceApiTest, DeleteCustomer_WithKeys_IsRefused) {
  putCustomer("acme");
  m_Daemon.call("POST", "/v1/keys", R"({"customer": "acme", "name": "k"})");
  const auto Answer = m_Daemon.call("DELETE", "/v1/customers/acme");
  EXPECT_EQ(Answer.m_Status, 409);
  EXPECT_EQ(bodyOf(Answer)["code"], "customer-in-use");
}

TEST_F(ResourceApiTest, Watch_ChangeThroughAnotherDaemon_IsSeen) {
  const auto Answer =
      m_Daemon.send({.m_Method = "GET", .m_Path = "/v1/watch?from=0"});
  m_Other.call("PUT", "/v1/customers/acme", "{}");
  const Json Body = bodyOf(Answer->get());
  ASSERT_EQ(Body["events"].size(), 1U);
  EXPECT_EQ(Body["events"][0]["name"], "acme");
  EXPECT_EQ(Body["next"], 1);
}

TEST_F(ResourceApiTest, Watch_LoserOfARace_IsNoEvent) {
  putCustomer("acme");
  putCustomer("acme", {{"If-None-Match", "*"}});
  m_Daemon.call("DELETE", "/v1/customers/acme");
  const Json Body = bodyOf(m_Daemon.call("GET", "/v1/watch?from=1"));
  ASSERT_EQ(Body["events"].size(), 1U);
  EXPECT_EQ(Body["events"][0]["deleted"], true);
  EXPECT_EQ(Body["events"][0]["revision"], 3);
}

TEST_F(ResourceApiTest, Watch_NothingHappens_AnswersAtItsDeadline) {
  const Json Body = bodyOf(m_Daemon.call("GET", "/v1/watch?from=0&wait_ms=5"));
  EXPECT_TRUE(Body["events"].empty());
  EXPECT_EQ(Body["next"], 0);
}

TEST_F(ResourceApiTest, Watch_KindFilter_PassesOtherKindsOver) {
  putCustomer("acme");
  m_Daemon.call("PUT", "/v1/rates/acme", R"({"per_second": 1, "burst": 1})");
  const Json Body = bodyOf(m_Daemon.call("GET", "/v1/watch?from=0&kind=rates"));
  ASSERT_EQ(Body["events"].size(), 1U);
  EXPECT_EQ(Body["events"][0]["kind"], "rates");
}

} // namespace
} // namespace knapweedloft::app
