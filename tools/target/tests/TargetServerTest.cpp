#include "target/TargetServer.h"

#include "harness/CheckedAnswer.h"
#include "harness/HttpCall.h"

#include "gtest/gtest.h"

namespace knapweedloft::target {
namespace {

class TargetServerTest : public testing::Test {
protected:
  static TargetOptions options() {
    TargetOptions Options;
    Options.m_Service = "orders";
    Options.m_WorkTime = absl::ZeroDuration();
    return Options;
  }

  http::HttpResult call(const std::string &Path, const std::string &Body = "",
                        http::HeaderList Headers = {}) {
    return harness::httpCall(m_Target.port(),
                             {"POST", Path, std::move(Headers), Body});
  }

  TargetServer m_Target{options()};
};

TEST_F(TargetServerTest, Request_WithCallId_AnswersItsBytes) {
  http::HttpResult Result =
      call("/a", "", {{"X-Call-Id", "id-1"}, {"X-Answer-Bytes", "50"}});
  EXPECT_EQ(Result.m_Response.m_Body, harness::checkedAnswer("id-1", 50));
  EXPECT_EQ(Result.m_Response.m_Body.size(), 50U);
}

TEST_F(TargetServerTest, Ledger_AfterRequest_TellsRunsAndKeys) {
  (void)call("/a", "", {{"X-Call-Id", "id-1"}, {"Authorization", "x"}});
  EXPECT_EQ(call("/ledger").m_Response.m_Body,
            R"({"calls":[{"ends":1,"id":"id-1","starts":1}],"keys_seen":1})");
}

TEST_F(TargetServerTest, Control_Fail_Answers500) {
  (void)call("/control", R"({"mode":"fail"})");
  EXPECT_EQ(call("/a").m_Response.m_Status, 500);
  (void)call("/control", R"({"mode":"ok","work_ms":1,"slots":1})");
  EXPECT_EQ(call("/a").m_Response.m_Status, 200);
}

TEST(CheckedAnswerTest, TwoIds_SameLength_Differ) {
  EXPECT_NE(harness::checkedAnswer("a-1", 64).substr(4),
            harness::checkedAnswer("a-2", 64).substr(4));
}

} // namespace
} // namespace knapweedloft::target
