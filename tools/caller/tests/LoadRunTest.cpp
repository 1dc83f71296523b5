#include "caller/LoadRun.h"

#include "harness/CheckedAnswer.h"
#include "http/HttpServer.h"

#include "fmt/format.h"
#include "gtest/gtest.h"

#include <atomic>

namespace knapweedloft::caller {
namespace {

class LoadRunTest : public testing::Test {
protected:
  /// Runs a short load against a server that answers with \p Answer.
  LoadReport
  run(std::function<http::HttpResponse(const std::string &Id)> Answer,
      unsigned Retries = 0) {
    http::HttpServer Server({.m_OnRequest = [&](http::HttpExchange Exchange) {
      const std::string *Id =
          http::findHeader(Exchange.request().m_Headers, harness::CallIdHeader);
      Exchange.answer(Answer(*Id));
    }});
    LoadPlan Plan;
    Plan.m_Bases = {fmt::format("http://127.0.0.1:{}", Server.port())};
    Plan.m_Customers = {{.m_Name = "ana",
                         .m_Key = "k",
                         .m_PerSecond = 1000,
                         .m_Retries = Retries}};
    Plan.m_Duration = absl::Milliseconds(50);
    Plan.m_AnswerBytes = 100;
    return runLoad(Plan);
  }
};

TEST_F(LoadRunTest, Answers_Own_AllSucceed) {
  LoadReport Report = run([](const std::string &Id) {
    return http::HttpResponse{200, {}, harness::checkedAnswer(Id, 100)};
  });
  CustomerReport Total = Report.total();
  EXPECT_GT(Total.m_Calls, 0U);
  EXPECT_EQ(Total.m_Succeeded, Total.m_Calls);
  EXPECT_EQ(Total.m_ByRan.at("yes"), Total.m_Calls);
  EXPECT_EQ(Report.m_WrongAnswers, 0U);
  EXPECT_EQ(Report.m_Latencies.size(), Total.m_Calls);
}

TEST_F(LoadRunTest, Answers_OfAnother_AreWrong) {
  LoadReport Report = run([](const std::string &) {
    return http::HttpResponse{200, {}, harness::checkedAnswer("other", 100)};
  });
  EXPECT_EQ(Report.m_WrongAnswers, Report.total().m_Calls);
  EXPECT_EQ(Report.total().m_Succeeded, 0U);
}

TEST_F(LoadRunTest, Refusals_WithRetries_AreSentAgainAndCounted) {
  LoadReport Report = run(
      [](const std::string &) {
        return http::HttpResponse{
            429, {}, R"({"reason":"over-rate","ran":"no"})"};
      },
      2);
  CustomerReport Total = Report.total();
  EXPECT_EQ(Total.m_Attempts, 3 * Total.m_Calls);
  EXPECT_EQ(Total.m_ByReason.at("over-rate"), Total.m_Attempts);
  EXPECT_EQ(Total.m_ByRan.at("no"), Total.m_Attempts);
}

TEST(LoadReportTest, Latency_Quantiles_AreExact) {
  LoadReport Report;
  for (int Index = 1; Index <= 100; ++Index)
    Report.m_Latencies.push_back(absl::Microseconds(Index));
  EXPECT_EQ(Report.latency(0.5), absl::Microseconds(50));
  EXPECT_EQ(Report.latency(0.99), absl::Microseconds(99));
  EXPECT_EQ(Report.latency(1), absl::Microseconds(100));
}

} // namespace
} // namespace knapweedloft::caller
