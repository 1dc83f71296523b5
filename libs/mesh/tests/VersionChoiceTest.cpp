#include "mesh/VersionChoice.h"

#include "gtest/gtest.h"

#include <random>
#include <string>

namespace knapweedloft::mesh {
namespace {

const absl::Time Start = absl::FromUnixSeconds(1000);

/// Targets 1 to 4 are of the former version, 11 and 12 on trial.
class VersionChoiceTest : public ::testing::Test {
protected:
  VersionChoiceTest() : m_Choice({.m_Region = "r", .m_DataCenter = "a"}) {}

  void setTargets(double Exposure, bool IsFormerOpen = true) {
    std::vector<PeerTarget> Targets;
    for (model::Incarnation Id : {1U, 2U, 3U, 4U, 11U, 12U}) {
      PeerTarget Target{
          .m_Member = {.m_Name = std::to_string(Id), .m_Incarnation = Id},
          .m_IsOpen = Id > 10 || IsFormerOpen};
      if (Id > 10)
        Target.m_Exposure = Exposure;
      Targets.push_back(Target);
    }
    m_Choice.setTargets(Targets, Start);
  }

  /// \returns the incarnation of the chosen target; 0: none.
  model::Incarnation choose() {
    auto Target = m_Choice.choose({}, m_Random, Start);
    if (!Target)
      return 0;
    m_Choice.onSent(*Target, Start);
    m_Choice.onAnswer(*Target, {}, true, absl::Milliseconds(10), Start);
    return m_Choice.info(*Target).m_Incarnation;
  }

  int trialsOf(int Requests) {
    int Trials = 0;
    for (int Count = 0; Count < Requests; ++Count)
      Trials += choose() > 10 ? 1 : 0;
    return Trials;
  }

  VersionChoice m_Choice;
  std::mt19937_64 m_Random{7};
};

TEST_F(VersionChoiceTest, Choose_VersionOnTrial_GetsItsShare) {
  setTargets(0.1);
  EXPECT_NEAR(trialsOf(5000), 500, 80);
}

TEST_F(VersionChoiceTest, Choose_ShareIsWhole_AllTargetsAreAlike) {
  setTargets(1);
  EXPECT_NEAR(trialsOf(6000), 2000, 300);
}

TEST_F(VersionChoiceTest, Choose_NoShare_GetsNone) {
  setTargets(0);
  EXPECT_EQ(trialsOf(1000), 0);
}

TEST_F(VersionChoiceTest, Choose_FormerVersionClosed_TrialTakesAll) {
  setTargets(0.1, false);
  EXPECT_EQ(trialsOf(100), 100);
}

TEST_F(VersionChoiceTest, Choose_RefusedByTrial_GoesToTheFormerVersion) {
  setTargets(0.9);
  auto OnTrial = m_Choice.find(11);
  ASSERT_TRUE(OnTrial);
  for (int Count = 0; Count < 100; ++Count) {
    auto Next = m_Choice.choose({*OnTrial}, m_Random, Start);
    ASSERT_TRUE(Next);
    EXPECT_LT(m_Choice.info(*Next).m_Incarnation, 10U);
  }
}

} // namespace
} // namespace knapweedloft::mesh
