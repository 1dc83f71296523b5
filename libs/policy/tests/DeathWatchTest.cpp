#include "policy/DeathWatch.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <numeric>

namespace knapweedloft::policy {
namespace {

using model::Fingerprint;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr Fingerprint Killer = 500;

class DeathWatchTest : public testing::Test {
protected:
  static std::vector<Fingerprint> company(Fingerprint First) {
    std::vector<Fingerprint> Prints(1000);
    std::iota(Prints.begin(), Prints.end(), First);
    return Prints;
  }

  absl::Time m_Now = absl::UnixEpoch();
  DeathWatch m_Watch{{}};
};

TEST_F(DeathWatchTest, OnDeath_KillerAmongThousandTwice_OnlyKillerIsAside) {
  auto First = company(1);
  EXPECT_THAT(m_Watch.onDeath(First, m_Now).m_Culprits, IsEmpty());
  // The killer is sent again, and starts alone of the suspects.
  m_Watch.start(Killer, m_Now);
  auto Second = company(2001);
  for (Fingerprint Print : Second)
    EXPECT_TRUE(m_Watch.mayStart(Print, m_Now));
  EXPECT_FALSE(m_Watch.mayStart(Killer + 1, m_Now));
  Second.push_back(Killer);
  EXPECT_THAT(m_Watch.onDeath(Second, m_Now).m_Culprits, ElementsAre(Killer));
  EXPECT_TRUE(m_Watch.isQuarantined(Killer, m_Now));
  EXPECT_FALSE(m_Watch.isSuspect(2001, m_Now));
}

TEST_F(DeathWatchTest, End_SuspectSucceeds_IsClearedAndNextMayStart) {
  m_Watch.addSuspects(company(1), m_Now);
  m_Watch.start(1, m_Now);
  m_Watch.end(1, true);
  EXPECT_FALSE(m_Watch.isSuspect(1, m_Now));
  EXPECT_TRUE(m_Watch.mayStart(2, m_Now));
}

TEST_F(DeathWatchTest, IsQuarantined_AfterExpiry_IsLetThroughAgain) {
  const std::vector<Fingerprint> One = {Killer};
  m_Watch.addCulprits(One, m_Now);
  EXPECT_TRUE(m_Watch.isQuarantined(Killer, m_Now + absl::Minutes(9)));
  EXPECT_FALSE(m_Watch.isQuarantined(Killer, m_Now + absl::Minutes(10)));
}

TEST_F(DeathWatchTest, AddSuspects_FromAnotherDaemon_CountAsFirstDeath) {
  const std::vector<Fingerprint> One = {Killer};
  m_Watch.addSuspects(One, m_Now);
  EXPECT_THAT(m_Watch.onDeath(One, m_Now).m_Culprits, ElementsAre(Killer));
}

TEST_F(DeathWatchTest, OnDeath_SuspicionExpired_StartsAnew) {
  const std::vector<Fingerprint> One = {Killer};
  (void)m_Watch.onDeath(One, m_Now);
  m_Now += absl::Minutes(11);
  EXPECT_THAT(m_Watch.onDeath(One, m_Now).m_Culprits, IsEmpty());
}

} // namespace
} // namespace knapweedloft::policy
