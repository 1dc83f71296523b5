#include "app/AppliedSummary.h"

#include "gtest/gtest.h"

namespace knapweedloft::app {
namespace {

class AppliedSummaryTest : public testing::Test {
protected:
  static constexpr std::size_t MaxNamed = 2;

  void add(const std::string &Name, model::LogOffset Offset) {
    m_Sum.merge(AppliedSummary::of({Name, 1, Offset}), MaxNamed);
  }

  AppliedSummary m_Sum;
};

TEST_F(AppliedSummaryTest, Merge_OneBehind_IsNamedAndNotCounted) {
  add("a", 9);
  add("b", 9);
  add("c", 4);
  EXPECT_EQ(m_Sum.countAt(9), 2U);
  EXPECT_EQ(m_Sum.countAt(4), 3U);
  EXPECT_EQ(m_Sum.behind(9), std::vector<std::string>{"c"});
}

TEST_F(AppliedSummaryTest, Merge_MoreBehindThanNames_NeverCountsTooMany) {
  for (int Index = 0; Index < 10; ++Index)
    add("d" + std::to_string(Index), static_cast<model::LogOffset>(Index));
  EXPECT_LE(m_Sum.countAt(9), 1U);
  EXPECT_EQ(m_Sum.countAt(0), 10U);
  EXPECT_LE(m_Sum.m_Behind.size(), MaxNamed);
}

TEST_F(AppliedSummaryTest, Wire_RoundTrip_IsTheSame) {
  add("a", 9);
  add("b", 4);
  AppliedSummary Read = AppliedSummary::fromWire(m_Sum.toWire());
  EXPECT_EQ(Read.m_Floor, m_Sum.m_Floor);
  EXPECT_EQ(Read.m_Count, m_Sum.m_Count);
  EXPECT_EQ(Read.m_Behind, m_Sum.m_Behind);
}

} // namespace
} // namespace knapweedloft::app
