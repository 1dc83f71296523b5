#include "app/Daemon.h"

#include "app/BurnReport.h"
#include "http/HttpClient.h"

#include "absl/synchronization/notification.h"
#include "gtest/gtest.h"

#include <memory>
#include <string>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr int Ok = 200;
constexpr int Unauthorized = 401;

/// What a daemon answers to operators beside the resources. Its log is away,
/// which none of this needs.
class DaemonApiTest : public testing::Test {
protected:
  static Settings settings() {
    Settings From;
    From.m_Daemon = {"d", "r", "dc"};
    From.m_Log = {.m_Address = "127.0.0.1", .m_Port = 1};
    return From;
  }

  http::HttpResponse get(const Daemon &From, const std::string &Path,
                         const std::string &Token = "") {
    http::HttpRequest Request{.m_Method = "GET", .m_Path = Path};
    if (!Token.empty())
      Request.m_Headers.push_back({"Authorization", "Bearer " + Token});
    absl::Notification IsDone;
    http::HttpResult Result;
    m_Client.send("http://127.0.0.1:" + std::to_string(From.apiPort()),
                  std::move(Request), absl::Seconds(60),
                  [&](http::HttpResult Outcome) {
                    Result = std::move(Outcome);
                    IsDone.Notify();
                  });
    IsDone.WaitForNotification();
    return Result.m_Response;
  }

  http::HttpClient m_Client{{}};
};

TEST_F(DaemonApiTest, Figures_TokenSet_AskForIt) {
  Settings From = settings();
  From.m_Api.m_Token = "operators-only";
  const Daemon Node(From);
  for (const char *Path : {"/metrics", "/v1/burn"}) {
    EXPECT_EQ(get(Node, Path).m_Status, Unauthorized) << Path;
    EXPECT_EQ(get(Node, Path, "operators-onlx").m_Status, Unauthorized) << Path;
    EXPECT_EQ(get(Node, Path, "operators-only").m_Status, Ok) << Path;
  }
}

TEST_F(DaemonApiTest, Health_TokenSet_IsOpen) {
  Settings From = settings();
  From.m_Api.m_Token = "operators-only";
  const Daemon Node(From);
  EXPECT_EQ(get(Node, "/healthz").m_Status, Ok);
  EXPECT_NE(get(Node, "/readyz").m_Status, Unauthorized);
}

TEST_F(DaemonApiTest, Figures_NoTokenSet_ServeLoopback) {
  const Daemon Node(settings());
  EXPECT_EQ(get(Node, "/metrics").m_Status, Ok);
  EXPECT_EQ(get(Node, "/v1/burn").m_Status, Ok);
}

TEST_F(DaemonApiTest, Burn_ObjectivesSet_AreInTheReport) {
  Settings From = settings();
  From.m_Objectives = {.m_SuccessShare = 0.95,
                       .m_Latency = absl::Milliseconds(250),
                       .m_LatencyShare = 0.9};
  const Daemon Node(From);
  const Objective Goal =
      burnReportFromJson(get(Node, "/v1/burn").m_Body).m_Objective;
  EXPECT_EQ(Goal.m_SuccessShare, 0.95);
  EXPECT_EQ(Goal.m_Latency, absl::Milliseconds(250));
  EXPECT_EQ(Goal.m_LatencyShare, 0.9);
}

} // namespace
} // namespace knapweedloft::app
