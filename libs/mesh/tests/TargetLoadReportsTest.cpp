#include "mesh/TargetLoadReports.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedloft::mesh {
namespace {

class TargetLoadReportsTest : public ::testing::Test {
protected:
  std::optional<std::uint32_t> report(const std::string &Text) {
    m_Now += absl::Milliseconds(10);
    return m_Reports.onReport(Text, "i-1", m_Now);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  int m_Lines = 0;
  telemetry::EventLog m_Log{{.m_Sink = [this](std::string_view Text) {
    m_Lines += static_cast<int>(std::count(Text.begin(), Text.end(), '\n'));
    return Text.size();
  }}};
  TargetLoadReports m_Reports{ComponentLog(m_Log, "target")};
};

TEST_F(TargetLoadReportsTest, OnReport_ThreeFigures_NamesNoPace) {
  EXPECT_EQ(report("3,0,8"), 8U);
  EXPECT_EQ(m_Reports.pacePercent(m_Now), 0U);
  EXPECT_EQ(m_Reports.pace({}, m_Now), 1);
}

TEST_F(TargetLoadReportsTest, OnReport_SlowMoment_TellsPeers) {
  report("3,0,8,100");
  EXPECT_EQ(m_Reports.pacePercent(m_Now), 100U);
  report("3,0,8,250");
  EXPECT_GT(m_Reports.pacePercent(m_Now), 200U);
  m_Now += absl::Seconds(5);
  EXPECT_EQ(m_Reports.pacePercent(m_Now), 100U);
}

TEST_F(TargetLoadReportsTest, OnReport_FiguresCannotBeTrue_KeepsWhatItKnew) {
  report("3,0,8,100");
  report("3,0,8,250");
  // It goes on as one that is not told anything.
  TargetLoadReports Untold = m_Reports;
  for (const char *Bad : {"3,0,8,0", "3,0,8,-5", "3,0,8,1000000000"}) {
    EXPECT_EQ(report(Bad), 8U);
    EXPECT_EQ(m_Reports.pacePercent(m_Now), Untold.pacePercent(m_Now));
    EXPECT_GT(m_Reports.pacePercent(m_Now), 100U);
  }
  EXPECT_EQ(report("3,0,1000000000,100"), std::nullopt);
  EXPECT_EQ(m_Reports.counts().m_BadPaces, 3U);
  EXPECT_EQ(m_Reports.counts().m_BadSlots, 1U);
}

TEST_F(TargetLoadReportsTest, OnReport_ManyBadReports_LogsOnceASecond) {
  for (int Count = 0; Count < 300; ++Count)
    report("3,0,8,0");
  m_Log.flush(absl::Now());
  EXPECT_EQ(m_Reports.counts().m_BadPaces, 300U);
  EXPECT_LE(m_Lines, 4);
  EXPECT_GE(m_Lines, 3);
}

TEST_F(TargetLoadReportsTest, Forget_NewInstance_NamesNoPace) {
  report("3,0,8,250");
  m_Reports.forget();
  EXPECT_EQ(m_Reports.pacePercent(m_Now), 0U);
}

} // namespace
} // namespace knapweedloft::mesh
