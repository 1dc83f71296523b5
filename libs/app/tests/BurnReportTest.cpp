#include "app/BurnReport.h"
#include "app/AppError.h"
#include "app/ReportText.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace knapweedloft::app {
namespace {

using model::RefusalReason;
using testing::HasSubstr;

class BurnReportTest : public testing::Test {
protected:
  static RequestRecord success(absl::Duration Latency) {
    RequestRecord Record;
    Record.m_Route = "orders";
    Record.m_Customer = "acme";
    Record.m_Status = 200;
    Record.m_Latency = Latency;
    return Record;
  }

  static RequestRecord refusal(RefusalReason Reason) {
    RequestRecord Record = success(absl::ZeroDuration());
    Record.m_Reason = Reason;
    Record.m_Status = model::httpStatusOf(Reason);
    return Record;
  }

  BurnReport report() { return makeBurnReport(m_Metrics, m_Now); }
  const BurnRow &row(const BurnReport &Report) {
    return Report.m_Rows.at({"orders", "acme"});
  }

  absl::Time m_Now = absl::UnixEpoch() + absl::Hours(100);
  RequestMetrics m_Metrics{{.m_Objective = {.m_SuccessShare = 0.99}}};
};

TEST_F(BurnReportTest, BurnRate_OnePercentFailsOfOnePercentBudget_IsOne) {
  for (int Count = 0; Count < 99; ++Count)
    m_Metrics.record(success(absl::Milliseconds(1)), m_Now);
  m_Metrics.record(refusal(RefusalReason::Overloaded), m_Now);
  BurnReport Report = report();
  EXPECT_NEAR(burnRate(row(Report).m_Counts[0], Report.m_Objective), 1, 1e-9);
}

TEST_F(BurnReportTest, BurnRate_CallersOwnFault_DoesNotCount) {
  m_Metrics.record(refusal(RefusalReason::OverRate), m_Now);
  m_Metrics.record(refusal(RefusalReason::BadKey), m_Now);
  BurnReport Report = report();
  EXPECT_EQ(row(Report).m_Counts[0].m_Total, 0U);
  EXPECT_EQ(
      row(Report).m_ByReason[static_cast<std::size_t>(RefusalReason::OverRate)],
      1U);
}

TEST_F(BurnReportTest, Windows_FailureAnHourOld_OnlyInTheLongest) {
  m_Metrics.record(refusal(RefusalReason::Overloaded), m_Now);
  m_Now += absl::Minutes(61);
  BurnReport Report = report();
  EXPECT_EQ(row(Report).m_Counts[0].m_Failed, 0U);
  EXPECT_EQ(row(Report).m_Counts[1].m_Failed, 0U);
  EXPECT_EQ(row(Report).m_Counts[2].m_Failed, 1U);
}

TEST_F(BurnReportTest, Windows_SevenHoursLater_ForgetEverything) {
  m_Metrics.record(success(absl::Milliseconds(1)), m_Now);
  m_Now += absl::Hours(7);
  EXPECT_EQ(row(report()).m_Counts[2].m_Total, 0U);
}

TEST_F(BurnReportTest, Merge_QuantileOfTwoDaemons_IsThatOfAllRequests) {
  // 99 fast here and 901 slow there: the median of all is slow, while the mean
  // of the two medians is not.
  for (int Count = 0; Count < 99; ++Count)
    m_Metrics.record(success(absl::Milliseconds(1)), m_Now);
  RequestMetrics Other({});
  for (int Count = 0; Count < 901; ++Count)
    Other.record(success(absl::Milliseconds(100)), m_Now);
  BurnReport Merged = report();
  Merged.merge(makeBurnReport(Other, m_Now));
  absl::Duration Median = row(Merged).m_Histogram.quantile(0.5);
  EXPECT_GE(Median, absl::Milliseconds(100));
  EXPECT_LE(Median, absl::Milliseconds(120));
  EXPECT_EQ(row(Merged).m_Histogram.total(), 1000U);
}

TEST_F(BurnReportTest, Json_RoundTrip_KeepsEveryCount) {
  m_Metrics.record(success(absl::Milliseconds(3)), m_Now);
  m_Metrics.record(refusal(RefusalReason::NoTarget), m_Now);
  BurnReport Before = report();
  BurnReport After = burnReportFromJson(toJson(Before));
  EXPECT_EQ(toJson(After), toJson(Before));
  EXPECT_EQ(row(After).m_Counts[0].m_Refused, 1U);
}

TEST_F(BurnReportTest, FromJson_NotAReport_Throws) {
  EXPECT_THROW((void)burnReportFromJson("[]"), AppError);
  EXPECT_THROW((void)burnReportFromJson("{\"objective\":3}"), AppError);
  EXPECT_THROW((void)burnReportFromJson("nonsense"), AppError);
}

TEST_F(BurnReportTest, Record_MoreSeriesThanAllowed_AreSummedInOne) {
  RequestMetrics Small({.m_MaxSeries = 1});
  Small.record(success(absl::Milliseconds(1)), m_Now);
  RequestRecord Other = success(absl::Milliseconds(1));
  Other.m_Customer = "umbrella";
  Small.record(Other, m_Now);
  Small.record(Other, m_Now);
  BurnReport Report = makeBurnReport(Small, m_Now);
  EXPECT_EQ(Report.m_Rows.at({"", "*"}).m_Counts[0].m_Total, 2U);
}

TEST_F(BurnReportTest, ToHtml_NameWithMarkup_IsEscaped) {
  RequestRecord Record = success(absl::Milliseconds(1));
  Record.m_Customer = "<script>";
  m_Metrics.record(Record, m_Now);
  std::string Page = toHtml(report());
  EXPECT_THAT(Page, HasSubstr("&lt;script&gt;"));
  EXPECT_THAT(Page, testing::Not(HasSubstr("<script>")));
}

TEST_F(BurnReportTest, ToText_WorstServedCustomer_StandsFirst) {
  m_Metrics.record(refusal(RefusalReason::Overloaded), m_Now);
  RequestRecord Served = success(absl::Milliseconds(1));
  Served.m_Customer = "zeta";
  m_Metrics.record(Served, m_Now);
  auto Customers = customersByService(report());
  ASSERT_EQ(Customers.size(), 2U);
  EXPECT_EQ(Customers[0].m_Customer, "acme");
  EXPECT_THAT(toText(report()), HasSubstr("overloaded"));
}

} // namespace
} // namespace knapweedloft::app
