#include "app/CallerHandler.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "state/KeyText.h"
#include "state/RecordCodec.h"
#include "state/StateReplica.h"

#include "absl/synchronization/notification.h"
#include "gtest/gtest.h"

#include <atomic>
#include <string>
#include <utility>

namespace knapweedloft::app {
namespace {

/// Callers with keys at a served caller handler.
class CallerKeysTest : public testing::Test {
protected:
  CallerKeysTest()
      : m_Handler(
            {.m_Hooks = {
                 .m_Acquire = [this](const std::string &, absl::Time,
                                     absl::Duration,
                                     const auto &OnDone) { OnDone(m_Rate); },
                 .m_Submit =
                     [](const EntryRequest &Request) {
                       Request.m_Answer({.m_Body = Request.m_Customer});
                     },
                 .m_Announce = [](const Announcement &) {},
                 .m_IsStateFresh =
                     [this](absl::Time) { return m_IsFresh.load(); },
                 .m_OnRefusal = [](model::RefusalReason, const std::string &,
                                   const std::string &) {}}},
            m_Replica.store()),
        m_Server({.m_OnRequest =
                      [this](http::HttpExchange Exchange) {
                        m_Handler.handle(std::move(Exchange), absl::Now());
                      }}),
        m_Client({}) {
    put(model::Customer{.m_Name = "acme"});
    put(model::Route{
        .m_Name = "keyed", .m_PathPrefix = "/orders", .m_Service = "orders"});
    put(model::Route{.m_Name = "open",
                     .m_PathPrefix = "/catalogue",
                     .m_Service = "catalogue",
                     .m_IsOpen = true});
  }

  void append(state::ResourceChange Change) {
    Change.m_ChangeId = "id-" + std::to_string(m_Replica.offset());
    m_Replica.applyRecord(m_Replica.offset(),
                          state::encodeRecord({.m_Entry = Change}));
  }

  void put(const model::Resource &What) {
    append({.m_Kind = model::kindOf(What),
            .m_Name = model::nameOf(What),
            .m_Resource = What});
  }

  /// \returns the text of a new key of acme.
  std::string addKey(const std::string &Name) {
    std::string Text = state::makeKeyText();
    put(model::Key{.m_Name = Name,
                   .m_Customer = "acme",
                   .m_Digest = state::digestOf(Text)});
    return Text;
  }

  void withdraw(const std::string &Name) {
    append({.m_Kind = model::ResourceKind::Key, .m_Name = Name});
  }

  http::HttpResponse call(const std::string &Path,
                          const std::string &Authorization) {
    http::HttpRequest Request{.m_Method = "GET", .m_Path = Path};
    if (!Authorization.empty())
      Request.m_Headers.push_back({"Authorization", Authorization});
    absl::Notification IsDone;
    http::HttpResult Result;
    m_Client.send("http://127.0.0.1:" + std::to_string(m_Server.port()),
                  Request, absl::Seconds(60), [&](http::HttpResult Outcome) {
                    Result = std::move(Outcome);
                    IsDone.Notify();
                  });
    IsDone.WaitForNotification();
    EXPECT_EQ(Result.m_Failure, http::Failure::None);
    return Result.m_Response;
  }

  RateDecision m_Rate{.m_IsGranted = true};
  std::atomic<bool> m_IsFresh = true;
  state::StateReplica m_Replica;
  CallerHandler m_Handler;
  http::HttpServer m_Server;
  http::HttpClient m_Client;
};

TEST_F(CallerKeysTest, Call_NoKeeperGrants_IsNotBlamedOnTheCustomer) {
  const std::string Text = "Bearer " + addKey("k1");
  m_Rate = {.m_RetryAfter = absl::Seconds(1), .m_IsKeeperAway = true};
  EXPECT_EQ(call("/orders/1", Text).m_Status, 503);
  m_Rate.m_IsKeeperAway = false;
  EXPECT_EQ(call("/orders/1", Text).m_Status, 429);
}

TEST_F(CallerKeysTest, Call_KeyWithdrawnOnOpenConnection_IsRefusedNext) {
  const std::string Key = "Bearer " + addKey("k1");
  const http::HttpResponse Before = call("/orders", Key);
  EXPECT_EQ(Before.m_Status, 200);
  EXPECT_EQ(Before.m_Body, "acme");
  withdraw("k1");
  EXPECT_EQ(call("/orders", Key).m_Status, 401);
}

TEST_F(CallerKeysTest, Call_OneOfSeveralKeysWithdrawn_OthersGoOn) {
  const std::string First = "Bearer " + addKey("k1");
  const std::string Second = "Bearer " + addKey("k2");
  withdraw("k1");
  EXPECT_EQ(call("/orders", First).m_Status, 401);
  EXPECT_EQ(call("/orders", Second).m_Status, 200);
}

TEST_F(CallerKeysTest, Call_AnyBadKey_GetsTheSameAnswer) {
  const std::string Withdrawn = addKey("k1");
  const std::string Present = addKey("k2");
  withdraw("k1");
  const http::HttpResponse Missing = call("/orders", "");
  EXPECT_EQ(Missing.m_Status, 401);
  const std::string Bad[] = {"Bearer " + Withdrawn,
                             "Bearer " + state::makeKeyText(),
                             "Bearer " + Present.substr(0, 40),
                             "Bearer " + Present + "0",
                             "Bearer",
                             "Bearer " + std::string(5000, 'x'),
                             "Basic " + Present,
                             Present,
                             "Bearer k2",
                             "Bearer " +
                                 state::hexOf(state::digestOf(Present))};
  for (const std::string &Each : Bad) {
    const http::HttpResponse Answer = call("/orders", Each);
    EXPECT_EQ(Answer.m_Status, 401) << Each;
    EXPECT_EQ(Answer.m_Body, Missing.m_Body) << Each;
    EXPECT_EQ(Answer.m_Headers.size(), Missing.m_Headers.size()) << Each;
  }
}

TEST_F(CallerKeysTest, Call_StateMayBeStale_RefusesKeyedAndServesOpen) {
  const std::string Key = "Bearer " + addKey("k1");
  m_IsFresh = false;
  const http::HttpResponse Good = call("/orders", Key);
  const http::HttpResponse Guess =
      call("/orders", "Bearer " + state::makeKeyText());
  EXPECT_EQ(Good.m_Status, 503);
  // Nothing is learned about the key either.
  EXPECT_EQ(Guess.m_Status, 503);
  EXPECT_EQ(Guess.m_Body, Good.m_Body);
  EXPECT_EQ(call("/catalogue", "").m_Status, 200);
  m_IsFresh = true;
  EXPECT_EQ(call("/orders", Key).m_Status, 200);
}

} // namespace
} // namespace knapweedloft::app
