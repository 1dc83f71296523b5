#include "policy/EarlyRefusal.h"

#include "gtest/gtest.h"

#include <random>

namespace knapweedloft::policy {
namespace {

class EarlyRefusalTest : public testing::Test {
protected:
  void observe(float Level, int Count, std::uint32_t Customer = 0) {
    for (int Index = 0; Index < Count; ++Index)
      m_Entry.observe(Level, m_Now, Customer);
  }

  int refusedOf(int Count, model::Priority Priority,
                std::uint32_t Customer = 0) {
    int Refused = 0;
    for (int Index = 0; Index < Count; ++Index)
      Refused += m_Entry.refuse(Priority, m_Now, m_Random, Customer) ? 1 : 0;
    return Refused;
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  EarlyRefusal m_Entry{{}};
};

TEST_F(EarlyRefusalTest, Refuse_NothingObserved_LetsThrough) {
  EXPECT_EQ(refusedOf(100, model::Priority::Low), 0);
}

TEST_F(EarlyRefusalTest, Refuse_LevelOneAndAHalf_ShedsLowAndHalfOfNormal) {
  observe(1.5F, 100);
  EXPECT_EQ(refusedOf(1000, model::Priority::Low), 1000);
  EXPECT_NEAR(refusedOf(1000, model::Priority::Normal), 500, 60);
  EXPECT_EQ(refusedOf(1000, model::Priority::High), 0);
}

TEST_F(EarlyRefusalTest, Refuse_OtherCustomerIsShed_LetsThrough) {
  observe(2, 100, 1);
  EXPECT_EQ(refusedOf(100, model::Priority::Low, 0), 0);
}

TEST_F(EarlyRefusalTest, Refuse_AllShed_LetsProbesThroughAndLearnsOfRecovery) {
  observe(4, 100);
  int LetThrough = 0;
  absl::Time End = m_Now + absl::Seconds(2);
  for (; m_Now < End; m_Now += absl::Milliseconds(10)) {
    if (m_Entry.refuse(model::Priority::Critical, m_Now, m_Random))
      continue;
    ++LetThrough;
    m_Entry.observe(0, m_Now);
  }
  EXPECT_GT(LetThrough, 100);
  EXPECT_LT(m_Entry.level(m_Now), 1.0F);
}

TEST_F(EarlyRefusalTest, Observe_ColdTargetOfSmallLimit_HardlyCounts) {
  for (int Index = 0; Index < 500; ++Index) {
    m_Entry.observe(0, m_Now, 0, 200);
    m_Entry.observe(4, m_Now, 0, 2);
  }
  EXPECT_LT(m_Entry.level(m_Now), 0.2F);
}

} // namespace
} // namespace knapweedloft::policy
