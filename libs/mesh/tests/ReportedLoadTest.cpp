#include "mesh/ReportedLoad.h"

#include "gtest/gtest.h"

#include <string>

namespace knapweedloft::mesh {
namespace {

TEST(ReportedLoadTest, Parse_FourFigures_TakesAll) {
  ReportedLoad Load = ReportedLoad::parse("3, 2, 108, 250");
  EXPECT_EQ(Load.m_Running, 3U);
  EXPECT_EQ(Load.m_Waiting, 2U);
  EXPECT_EQ(Load.m_Slots, 108U);
  EXPECT_EQ(Load.m_PacePercent, 250);
  EXPECT_FALSE(Load.m_HasBadSlots);
  EXPECT_FALSE(Load.m_HasBadPace);
}

TEST(ReportedLoadTest, Parse_ThreeFigures_NamesNoPace) {
  ReportedLoad Load = ReportedLoad::parse("3,0,8");
  EXPECT_EQ(Load.m_Slots, 8U);
  EXPECT_FALSE(Load.m_PacePercent);
  EXPECT_FALSE(Load.m_HasBadPace);
}

TEST(ReportedLoadTest, Parse_PaceCannotBeTrue_LeavesItOutAndKeepsTheSlots) {
  for (const char *Pace :
       {"0", "-100", "1000000000", "nan", "inf", "", "x", "100x", "100;"}) {
    ReportedLoad Load = ReportedLoad::parse(std::string("3,0,8,") + Pace);
    EXPECT_EQ(Load.m_Slots, 8U) << Pace;
    EXPECT_FALSE(Load.m_PacePercent) << Pace;
    EXPECT_TRUE(Load.m_HasBadPace) << Pace;
  }
}

TEST(ReportedLoadTest, Parse_SlotsCannotBeTrue_LeavesThemOut) {
  for (const char *Slots : {"0", "-8", "1000000000", "99999999999", "", "x"}) {
    ReportedLoad Load = ReportedLoad::parse(std::string("3,0,") + Slots);
    EXPECT_FALSE(Load.m_Slots) << Slots;
    EXPECT_TRUE(Load.m_HasBadSlots) << Slots;
  }
}

TEST(ReportedLoadTest, Parse_TooFewFigures_TakesWhatIsThere) {
  EXPECT_FALSE(ReportedLoad::parse("").m_Running);
  EXPECT_EQ(ReportedLoad::parse("5").m_Running, 5U);
  EXPECT_FALSE(ReportedLoad::parse("5,1").m_Slots);
}

} // namespace
} // namespace knapweedloft::mesh
