#include "policy/VersionJudge.h"

#include "gtest/gtest.h"

#include <cmath>
#include <vector>

namespace knapweedloft::policy {
namespace {

constexpr std::size_t FormerTargets = 8;
constexpr std::size_t NewTargets = 4;

/// Targets of two versions that answer on two routes; each step is a quarter of
/// a second.
class VersionJudgeTest : public testing::Test {
protected:
  VersionJudgeTest() {
    for (std::size_t Index = 0; Index < FormerTargets + NewTargets; ++Index) {
      RolloutSample Sample{.m_Daemon = "d-" + std::to_string(Index),
                           .m_Incarnation = 1,
                           .m_Instance = "i-" + std::to_string(Index),
                           .m_Version = Index < FormerTargets ? "v1" : "v2",
                           .m_IsOpen = true,
                           .m_Slots = 100};
      Sample.m_Routes.resize(2);
      Sample.m_Routes[0].m_Route = "often";
      Sample.m_Routes[1].m_Route = "rarely";
      m_Targets.push_back(std::move(Sample));
    }
    tell();
  }

  RouteCounts &counts(std::size_t Target, std::size_t Route = 0) {
    return m_Targets[Target].m_Routes[Route];
  }
  RouteCounts &newCounts(std::size_t Target, std::size_t Route = 0) {
    return counts(FormerTargets + Target, Route);
  }

  void answer(RouteCounts &Counts, std::uint32_t Count,
              absl::Duration Latency = absl::Milliseconds(100)) {
    Counts.m_Answers += Count;
    Counts.m_Latencies[RouteCounts::bucketOf(Latency)] += Count;
  }
  void fail(RouteCounts &Counts, std::uint32_t Count) {
    Counts.m_Answers += Count;
    Counts.m_Failures += Count;
  }
  void answerAll(std::uint32_t Count) {
    for (std::size_t Target = 0; Target < m_Targets.size(); ++Target)
      answer(counts(Target), Count);
  }

  void tell() {
    for (const RolloutSample &Sample : m_Targets)
      m_Judge.onSample(Sample, m_Now);
    m_Now += absl::Milliseconds(250);
  }
  /// Lets what was told last be compared.
  VersionJudge::Verdict judge() {
    tell();
    tell();
    return m_Judge.judge(m_Now);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1'000'000);
  std::vector<RolloutSample> m_Targets;
  VersionJudge m_Judge{{}, "v2"};
};

TEST_F(VersionJudgeTest, Judge_NoAnswers_IsNotBad) {
  EXPECT_FALSE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_AllTargetsFailPart_IsBad) {
  for (int Step = 0; Step < 4; ++Step) {
    answerAll(3);
    for (std::size_t Target = 0; Target < NewTargets; ++Target)
      fail(newCounts(Target), 2);
    tell();
  }
  VersionJudge::Verdict Found = judge();
  EXPECT_TRUE(Found.m_IsBad);
  EXPECT_EQ(Found.m_Route, "often");
  EXPECT_GT(Found.m_BadAnswers, 0);
  EXPECT_GT(Found.m_Answers, Found.m_BadAnswers);
}

TEST_F(VersionJudgeTest, Judge_OneTargetFailsAll_IsNotBad) {
  for (int Step = 0; Step < 20; ++Step) {
    answerAll(3);
    fail(newCounts(0), 10);
    tell();
  }
  EXPECT_FALSE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_BothVersionsFailAlike_IsNotBad) {
  for (int Step = 0; Step < 20; ++Step) {
    answerAll(3);
    for (std::size_t Target = 0; Target < m_Targets.size(); ++Target)
      fail(counts(Target), 3);
    tell();
  }
  EXPECT_FALSE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_FailedInOtherSecondsThanTheFormer_IsBad) {
  for (int Step = 0; Step < 40; ++Step) {
    answerAll(3);
    bool IsFormer = Step < 16;
    for (std::size_t Target = 0; Target < m_Targets.size(); ++Target) {
      bool Fails = IsFormer == (Target < FormerTargets);
      if (Fails && (IsFormer || Step >= 32))
        fail(counts(Target), 2);
    }
    tell();
  }
  EXPECT_TRUE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_SingleFailureOnARareRoute_IsNotBad) {
  for (int Step = 0; Step < 8; ++Step) {
    answerAll(10);
    tell();
  }
  answer(counts(0, 1), 1);
  fail(newCounts(1, 1), 1);
  EXPECT_FALSE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_FailsOnOneRouteOnly_NamesTheRoute) {
  for (int Step = 0; Step < 16; ++Step) {
    answerAll(20);
    for (std::size_t Target = 0; Target < m_Targets.size(); ++Target)
      answer(counts(Target, 1), 1);
    for (std::size_t Target = 0; Target < NewTargets; ++Target)
      fail(newCounts(Target, 1), 1);
    tell();
  }
  VersionJudge::Verdict Found = judge();
  EXPECT_TRUE(Found.m_IsBad);
  EXPECT_EQ(Found.m_Route, "rarely");
}

TEST_F(VersionJudgeTest, Judge_ThirdOfAnswersSlow_IsBad) {
  for (int Step = 0; Step < 12; ++Step) {
    answerAll(2);
    for (std::size_t Target = 0; Target < NewTargets; ++Target)
      answer(newCounts(Target), 1, absl::Milliseconds(800));
    tell();
  }
  EXPECT_TRUE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_TargetsSlowByThemselves_IsNotBad) {
  for (int Step = 0; Step < 40; ++Step) {
    for (std::size_t Target = 0; Target < FormerTargets; ++Target)
      answer(counts(Target), 3);
    for (std::size_t Target = 0; Target < NewTargets; ++Target)
      answer(newCounts(Target), 3, absl::Milliseconds(200));
    tell();
  }
  EXPECT_FALSE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_SlowWhileCold_IsNotBad) {
  for (int Step = 0; Step < 12; ++Step) {
    answerAll(1);
    for (std::size_t Target = 0; Target < NewTargets; ++Target) {
      m_Targets[FormerTargets + Target].m_IsCold = true;
      answer(newCounts(Target), 3, absl::Milliseconds(900));
    }
    tell();
  }
  EXPECT_FALSE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_ManyRequestsRunTooLong_IsBadBeforeTheyEnd) {
  for (int Step = 0; Step < 4; ++Step) {
    answerAll(5);
    tell();
  }
  for (std::size_t Target = 0; Target < m_Targets.size(); ++Target)
    m_Targets[Target].m_Running = 40;
  EXPECT_FALSE(judge().m_IsBad);
  for (std::size_t Target = 0; Target < NewTargets; ++Target)
    m_Targets[FormerTargets + Target].m_Overdue = 25;
  EXPECT_TRUE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, Judge_BothVersionsRunTooLong_IsNotBad) {
  answerAll(5);
  for (RolloutSample &Target : m_Targets) {
    Target.m_Running = 40;
    Target.m_Overdue = 25;
  }
  EXPECT_FALSE(judge().m_IsBad);
}

TEST_F(VersionJudgeTest, OnSample_DaemonRestarted_CountsFromZeroAgain) {
  for (int Step = 0; Step < 8; ++Step) {
    answerAll(5);
    tell();
  }
  for (RolloutSample &Target : m_Targets) {
    ++Target.m_Incarnation;
    for (RouteCounts &Counts : Target.m_Routes)
      Counts = {.m_Route = Counts.m_Route};
  }
  tell();
  EXPECT_FALSE(judge().m_IsBad);
  for (int Step = 0; Step < 4; ++Step) {
    answerAll(3);
    for (std::size_t Target = 0; Target < NewTargets; ++Target)
      fail(newCounts(Target), 3);
    tell();
  }
  EXPECT_TRUE(judge().m_IsBad);
}

} // namespace
} // namespace knapweedloft::policy
