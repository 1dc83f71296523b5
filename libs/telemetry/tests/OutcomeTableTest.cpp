#include "telemetry/OutcomeTable.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <string>

namespace knapweedloft::telemetry {
namespace {

class OutcomeTableTest : public ::testing::Test {
protected:
  std::string text() const {
    std::string Text;
    m_Table.appendTo(Text, "requests", "route");
    return Text;
  }

  OutcomeTable m_Table{{.m_MaxNames = 2}};
};

TEST_F(OutcomeTableTest, AppendTo_SeveralOutcomes_OneLineEach) {
  m_Table.count("reads", "answered");
  m_Table.count("reads", "answered");
  m_Table.count("reads", "over-rate");
  EXPECT_EQ(text(),
            "knapweedloft_requests{route=\"reads\",outcome=\"answered\"} 2\n"
            "knapweedloft_requests{route=\"reads\",outcome=\"over-rate\"} 1\n");
}

TEST_F(OutcomeTableTest, Count_NamesPastTheLimit_AreCountedTogether) {
  for (int Index = 0; Index < 1000; ++Index)
    m_Table.count("customer-" + std::to_string(Index), "answered");
  std::string Text = text();
  EXPECT_EQ(std::count(Text.begin(), Text.end(), '\n'), 3);
  EXPECT_NE(Text.find("{route=\"other\",outcome=\"answered\"} 998\n"),
            std::string::npos);
}

TEST_F(OutcomeTableTest, AppendTo_NameWithAQuote_StaysOneLabel) {
  m_Table.count("a\"b\nc", "answered");
  EXPECT_EQ(text(), "knapweedloft_requests{route=\"a\\\"b c\",outcome="
                    "\"answered\"} 1\n");
}

} // namespace
} // namespace knapweedloft::telemetry
