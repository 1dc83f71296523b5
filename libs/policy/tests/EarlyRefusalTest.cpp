#include "policy/EarlyRefusal.h"

#include "gtest/gtest.h"

#include <random>

namespace knapweedloft::policy {
namespace {

class EarlyRefusalTest : public testing::Test {
protected:
  void observe(float Level, int Count, std::uint32_t Customer = 0) {
    for (int Index = 0; Index < Count; ++Index)
      m_EarlyRefusal.observe(Level, m_Now, Customer);
  }

  int countRefused(int Count, model::Priority Priority,
                   std::uint32_t Customer = 0) {
    int Refused = 0;
    for (int Index = 0; Index < Count; ++Index)
      Refused +=
          m_EarlyRefusal.refuse(Priority, m_Now, m_Random, Customer) ? 1 : 0;
    return Refused;
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  EarlyRefusal m_EarlyRefusal{{}};
};

TEST_F(EarlyRefusalTest, Refuse_NothingObserved_Admits) {
  EXPECT_EQ(countRefused(100, model::Priority::Low), 0);
}

TEST_F(EarlyRefusalTest, Refuse_LevelOneAndAHalf_ShedsLowAndHalfOfNormal) {
  observe(1.5F, 100);
  EXPECT_EQ(countRefused(1000, model::Priority::Low), 1000);
  EXPECT_NEAR(countRefused(1000, model::Priority::Normal), 500, 60);
  EXPECT_EQ(countRefused(1000, model::Priority::High), 0);
}

TEST_F(EarlyRefusalTest, Refuse_OtherCustomerIsShed_Admits) {
  observe(2, 100, 1);
  EXPECT_EQ(countRefused(100, model::Priority::Low, 0), 0);
}

TEST_F(EarlyRefusalTest, Refuse_AllShed_SendsProbesAndNoticesRecovery) {
  observe(4, 100);
  int Probes = 0;
  absl::Time End = m_Now + absl::Seconds(2);
  for (; m_Now < End; m_Now += absl::Milliseconds(10)) {
    if (m_EarlyRefusal.refuse(model::Priority::Critical, m_Now, m_Random))
      continue;
    ++Probes;
    m_EarlyRefusal.observe(0, m_Now);
  }
  EXPECT_GT(Probes, 100);
  EXPECT_LT(m_EarlyRefusal.level(m_Now), 1.0F);
}

TEST_F(EarlyRefusalTest, Observe_ColdTargetWithSmallLimit_HasLittleWeight) {
  for (int Index = 0; Index < 500; ++Index) {
    m_EarlyRefusal.observe(0, m_Now, 0, 200);
    m_EarlyRefusal.observe(4, m_Now, 0, 2);
  }
  EXPECT_LT(m_EarlyRefusal.level(m_Now), 0.2F);
}

} // namespace
} // namespace knapweedloft::policy
