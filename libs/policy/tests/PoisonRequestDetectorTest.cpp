#include "policy/PoisonRequestDetector.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <numeric>

namespace knapweedloft::policy {
namespace {

using model::Fingerprint;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr Fingerprint Poison = 500;

class PoisonRequestDetectorTest : public testing::Test {
protected:
  static std::vector<Fingerprint> requests(Fingerprint First) {
    std::vector<Fingerprint> Requests(1000);
    std::iota(Requests.begin(), Requests.end(), First);
    return Requests;
  }

  absl::Time m_Now = absl::UnixEpoch();
  PoisonRequestDetector m_Detector{{}};
};

TEST_F(PoisonRequestDetectorTest,
       OnCrash_SameRequestInFlightTwice_OnlyItIsQuarantined) {
  auto First = requests(1);
  EXPECT_THAT(m_Detector.onCrash(First, m_Now).m_Quarantined, IsEmpty());
  // The poison request is retried and is the only suspect that runs.
  m_Detector.start(Poison, m_Now);
  auto Second = requests(2001);
  for (Fingerprint Request : Second)
    EXPECT_TRUE(m_Detector.mayStart(Request, m_Now));
  EXPECT_FALSE(m_Detector.mayStart(Poison + 1, m_Now));
  Second.push_back(Poison);
  EXPECT_THAT(m_Detector.onCrash(Second, m_Now).m_Quarantined,
              ElementsAre(Poison));
  EXPECT_TRUE(m_Detector.isQuarantined(Poison, m_Now));
  EXPECT_FALSE(m_Detector.isSuspect(2001, m_Now));
}

TEST_F(PoisonRequestDetectorTest,
       End_SuspectSucceeds_IsClearedAndNextMayStart) {
  m_Detector.addSuspects(requests(1), m_Now);
  m_Detector.start(1, m_Now);
  m_Detector.end(1, true);
  EXPECT_FALSE(m_Detector.isSuspect(1, m_Now));
  EXPECT_TRUE(m_Detector.mayStart(2, m_Now));
}

TEST_F(PoisonRequestDetectorTest, IsQuarantined_AfterExpiry_ReturnsFalse) {
  const std::vector<Fingerprint> One = {Poison};
  m_Detector.addQuarantined(One, m_Now);
  EXPECT_TRUE(m_Detector.isQuarantined(Poison, m_Now + absl::Minutes(9)));
  EXPECT_FALSE(m_Detector.isQuarantined(Poison, m_Now + absl::Minutes(10)));
}

TEST_F(PoisonRequestDetectorTest,
       AddSuspects_FromAnotherDaemon_CountAsFirstCrash) {
  const std::vector<Fingerprint> One = {Poison};
  m_Detector.addSuspects(One, m_Now);
  EXPECT_THAT(m_Detector.onCrash(One, m_Now).m_Quarantined,
              ElementsAre(Poison));
}

TEST_F(PoisonRequestDetectorTest, OnCrash_SuspicionExpired_QuarantinesNothing) {
  const std::vector<Fingerprint> One = {Poison};
  (void)m_Detector.onCrash(One, m_Now);
  m_Now += absl::Minutes(11);
  EXPECT_THAT(m_Detector.onCrash(One, m_Now).m_Quarantined, IsEmpty());
}

} // namespace
} // namespace knapweedloft::policy
