#include "telemetry/LossTable.h"

#include "nlohmann/json.hpp"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include "fmt/format.h"

#include <sstream>
#include <string>

namespace knapweedloft::telemetry {
namespace {

using ::testing::HasSubstr;

class LossTableTest : public ::testing::Test {
protected:
  void read(LossTable &Table, const std::string &Text) {
    std::istringstream From(Text);
    Table.read("daemon-1.log", From);
  }

  static std::string line(int Second, const std::string &Rest) {
    return fmt::format("2026-12-03T22:{:02}:{:02}.123Z {}\n", Second / 60 % 60,
                       Second % 60, Rest);
  }

  const std::string m_Served =
      "entry: Request answered. id=a status=200 route=r-1 target=d-1 took=9.0ms"
      " late=false";
  const std::string m_Late =
      "entry: Request answered. id=b status=200 route=r-1 target=d-1 took=1.2ms"
      " late=true";
  const std::string m_Refused =
      "entry: Request refused. id=c reason=overloaded ran=no route=r-1"
      " customer=acme target=\"\" config=3 held=4.0ms back=400.0ms";
  const std::string m_Unknown =
      "entry: Request refused. id=d reason=outcome-unknown ran=unknown "
      "route=r-2"
      " customer=acme target=d-1 config=3 held=8.0ms back=0.0ms";
  const std::string m_Failed =
      "entry: Request answered with the target's error. id=e status=500"
      " route=r-2 target=d-2 arrivals=1 took=1203.8ms";
};

TEST_F(LossTableTest, Read_LinesOfAllOutcomes_AreCounted) {
  LossTable Table({});
  read(Table, line(1, m_Served) + line(1, m_Served) + line(1, m_Late) +
                  line(2, m_Refused) + line(2, m_Unknown) + line(3, m_Failed));
  EXPECT_EQ(Table.total({LossKind::Served, ""}).m_Requests, 2U);
  EXPECT_EQ(Table.total({LossKind::Late, ""}).m_Requests, 1U);
  EXPECT_EQ(Table.total({LossKind::Refused, "overloaded"}).m_Requests, 1U);
  EXPECT_EQ(Table.total({LossKind::Refused, "overloaded"}).m_Held,
            absl::Milliseconds(4));
  EXPECT_EQ(Table.total({LossKind::Failed, "outcome-unknown"}).m_Requests, 1U);
  EXPECT_EQ(Table.total({LossKind::Failed, "status 500"}).m_Requests, 1U);
  EXPECT_TRUE(Table.unreadable().empty());
}

TEST_F(LossTableTest, Read_CollectedLogs_CountsLinesWithNamesOfProcesses) {
  LossTable Table({});
  read(Table,
       "daemon-7 " + line(1, m_Served) + "daemon-8 " + line(1, m_Refused));
  EXPECT_EQ(Table.total({LossKind::Served, ""}).m_Requests, 1U);
  EXPECT_EQ(Table.total({LossKind::Refused, "overloaded"}).m_Requests, 1U);
}

TEST_F(LossTableTest, Read_MalformedLines_AreCountedAndNamed) {
  LossTable Table({});
  read(Table, line(1, m_Served) + "\x01garbage\n" +
                  line(2, "entry: Request refused. id=c ran=no") +
                  "2026-99-99T22:00:00.123Z " + m_Served + "\n" +
                  line(3, m_Served));
  ASSERT_EQ(Table.unreadable().size(), 1U);
  EXPECT_EQ(Table.unreadable()[0].m_Lines, 3U);
  EXPECT_EQ(Table.unreadable()[0].m_First, 2U);
  EXPECT_EQ(Table.total({LossKind::Served, ""}).m_Requests, 2U);
  EXPECT_THAT(Table.text(), HasSubstr("daemon-1.log: 3 lines"));
}

TEST_F(LossTableTest, Read_LongTime_JoinsIntervalsWithinItsBound) {
  LossTable Table({.m_MaxCells = 8});
  std::string Text;
  for (int Second = 0; Second < 600; ++Second)
    Text += line(Second, m_Served);
  read(Table, Text);
  EXPECT_EQ(Table.total({LossKind::Served, ""}).m_Requests, 600U);
  EXPECT_GT(Table.interval(), absl::Minutes(1));
  EXPECT_THAT(Table.text(), HasSubstr("Intervals were joined"));
}

TEST_F(LossTableTest, Read_EndlessLine_IsCutOff) {
  LossTable Table({.m_MaxLineBytes = 512});
  read(Table, line(1, m_Served + " x=" + std::string(1 << 20, 'x')) +
                  line(2, m_Served));
  EXPECT_EQ(Table.total({LossKind::Served, ""}).m_Requests, 2U);
}

TEST_F(LossTableTest, Read_DroppedLines_AreTold) {
  LossTable Table({});
  read(Table, line(1, "log: Lines were dropped. routine=40 notable=2 state=0"));
  EXPECT_EQ(Table.dropped(), 42U);
  EXPECT_THAT(Table.text(), HasSubstr("dropped 42 lines"));
}

TEST_F(LossTableTest, Text_SeveralLosses_LargestFirst) {
  LossTable Table({});
  read(Table, line(1, m_Refused) + line(1, m_Failed) + line(1, m_Failed));
  std::string Text = Table.text();
  EXPECT_LT(Text.find("status 500"), Text.find("overloaded"));
}

TEST_F(LossTableTest, Json_Counts_CanBeReadBack) {
  LossTable Table({.m_Interval = absl::Seconds(2)});
  read(Table, line(1, m_Refused) + "garbage\n");
  nlohmann::json Read = nlohmann::json::parse(Table.json());
  EXPECT_EQ(Read["interval_s"], 2);
  EXPECT_EQ(Read["counts"][0]["reason"], "overloaded");
  EXPECT_EQ(Read["counts"][0]["mean_ms"], 4);
  EXPECT_EQ(Read["unreadable"][0]["first"], 2);
}

} // namespace
} // namespace knapweedloft::telemetry
