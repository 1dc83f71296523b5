#include "RawSocket.h"
#include "harness/HttpCall.h"
#include "harness/Site.h"

#include "fmt/format.h"
#include "gtest/gtest.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <string>

namespace knapweedloft::demo {
namespace {

/// A daemon whose target works longer than a stop waits.
class RunStopTest : public testing::Test {
protected:
  RunStopTest() {
    m_Site.addNode({.m_Name = "orders-1",
                    .m_Service = "orders",
                    .m_TargetArguments = {"--slots", "1", "--work-ms", "60000"},
                    .m_MoreSettings = "drain_limit_ms = 1000\n"});
    m_Site.put("routes/orders",
               R"({"path_prefix": "/orders/", "service": "orders",)"
               R"( "open": true, "timeout_ms": 50000})");
  }

  http::RawSocket call() {
    http::RawSocket Caller =
        http::RawSocket::connectTo(m_Site.node(0).m_CallerPort);
    Caller.sendAll("POST /orders/ HTTP/1.1\r\nHost: site\r\n"
                   "Content-Length: 0\r\nConnection: close\r\n\r\n");
    return Caller;
  }

  std::size_t startsAtTarget() {
    http::HttpResult Result = harness::httpCall(
        m_Site.node(0).m_TargetPort, {.m_Method = "GET", .m_Path = "/ledger"});
    return nlohmann::json::parse(Result.m_Response.m_Body).at("calls").size();
  }

  static std::string statusOf(const http::RawSocket &Caller) {
    std::string Text = Caller.readToEnd();
    return Text.size() < 12 ? "none" : Text.substr(9, 3);
  }

  harness::Site m_Site;
};

// Guards against a stop that cuts off what is under way at its limit.
TEST_F(RunStopTest, Stopped_RequestsOutlastTheDrainLimit_AreAnswered) {
  http::RawSocket Running = call();
  ASSERT_TRUE(harness::eventually([&] {
    if (Running.isReadable()) // The daemon may not know the route yet.
      Running = call();
    return startsAtTarget() > 0;
  }));
  http::RawSocket Queued = call();
  m_Site.node(0).m_Daemon->signal(SIGTERM);
  EXPECT_EQ(statusOf(Running), "504");
  EXPECT_NE(statusOf(Queued), "none");
  EXPECT_EQ(m_Site.node(0).m_Daemon->wait(), 0);
  EXPECT_EQ(startsAtTarget(), 1U);
}

} // namespace
} // namespace knapweedloft::demo
