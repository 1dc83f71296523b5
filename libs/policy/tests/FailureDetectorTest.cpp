#include "policy/FailureDetector.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <random>

namespace knapweedloft::policy {
namespace {

class FailureDetectorTest : public testing::Test {
protected:
  using Kind = DetectorStep::Kind;

  FailureDetectorTest() { m_Detector.watch({{"peer", 7}}, m_Now); }

  /// Runs ticks for \p Length; helpers answer \p IsAlive.
  std::vector<Kind> run(absl::Duration Length, bool IsAlive) {
    std::vector<Kind> Kinds;
    for (absl::Time End = m_Now + Length; m_Now < End;
         m_Now += absl::Milliseconds(100))
      for (const DetectorStep &Step :
           m_Detector.tick(m_Helpers, m_Random, m_Now)) {
        Kinds.push_back(Step.m_Kind);
        if (Step.m_Kind == Kind::IndirectProbe)
          m_Detector.onIndirectProbeResult("peer", IsAlive, m_Now);
      }
    return Kinds;
  }

  static std::size_t count(const std::vector<Kind> &Kinds, Kind Wanted) {
    return std::count(Kinds.begin(), Kinds.end(), Wanted);
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  std::vector<std::string> m_Helpers{"a", "b", "c", "d"};
  FailureDetector m_Detector{{}};
};

TEST_F(FailureDetectorTest, Tick_UnreachablePeer_IsSuspectThenDeadOnce) {
  std::vector<Kind> Kinds = run(absl::Seconds(4), false);
  EXPECT_EQ(m_Detector.livenessOf("peer"), Liveness::Suspect);
  EXPECT_EQ(count(Kinds, Kind::DeclaredDead), 0U);
  Kinds = run(absl::Seconds(10), false);
  EXPECT_EQ(count(Kinds, Kind::DeclaredDead), 1U);
  EXPECT_EQ(m_Detector.livenessOf("peer"), Liveness::Dead);
}

TEST_F(FailureDetectorTest, Tick_HelperReachesPeer_StaysAlive) {
  std::vector<Kind> Kinds = run(absl::Seconds(60), true);
  EXPECT_GT(count(Kinds, Kind::IndirectProbe), 0U);
  EXPECT_EQ(count(Kinds, Kind::Suspected), 0U);
}

TEST_F(FailureDetectorTest, Tick_NoHelper_DeclaresNoPeerDead) {
  m_Helpers.clear();
  run(absl::Seconds(60), false);
  EXPECT_EQ(m_Detector.livenessOf("peer"), Liveness::Alive);
}

TEST_F(FailureDetectorTest, Tick_AfterOwnPause_ExtendsThePeersTimeout) {
  m_Detector.tick(m_Helpers, m_Random, m_Now);
  m_Now += absl::Seconds(30);
  EXPECT_TRUE(m_Detector.tick(m_Helpers, m_Random, m_Now).empty());
}

TEST_F(FailureDetectorTest, OnReceived_SuspectPeer_RecoversOnce) {
  run(absl::Seconds(4), false);
  m_Detector.onReceived("peer", m_Now);
  std::vector<Kind> Kinds = run(absl::Seconds(1), false);
  EXPECT_EQ(count(Kinds, Kind::Recovered), 1U);
  EXPECT_EQ(m_Detector.livenessOf("peer"), Liveness::Alive);
}

TEST_F(FailureDetectorTest, Watch_NewIncarnation_StartsAlive) {
  run(absl::Seconds(20), false);
  m_Detector.watch({{"peer", 8}}, m_Now);
  EXPECT_EQ(m_Detector.livenessOf("peer"), Liveness::Alive);
}

} // namespace
} // namespace knapweedloft::policy
