#include "policy/DownstreamGuard.h"

#include "gtest/gtest.h"

#include <random>

namespace knapweedloft::policy {
namespace {

class DownstreamGuardTest : public testing::Test {
protected:
  /// Offers 1000 requests a second to a service below that bears \p Capacity.
  /// \returns the share of those let through that was refused below.
  double run(absl::Duration Span, double Capacity) {
    absl::Time End = m_Now + Span;
    double Passed = 0;
    double Refused = 0;
    double Tokens = 0;
    for (; m_Now < End; m_Now += absl::Milliseconds(1)) {
      Tokens = std::min(Tokens + Capacity / 1000, 10.0);
      if (m_Guard.refuse(m_Now, m_Random, 0))
        continue;
      bool IsRefusedBelow = Tokens < 1;
      Tokens -= IsRefusedBelow ? 0 : 1;
      Passed += 1;
      Refused += IsRefusedBelow ? 1 : 0;
      m_Guard.observe(IsRefusedBelow, m_Now, 0);
    }
    return Refused / Passed;
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  DownstreamGuard m_Guard{{}};
};

TEST_F(DownstreamGuardTest, Refuse_EnoughBelow_LetsAllThrough) {
  run(absl::Seconds(5), 1100);
  EXPECT_EQ(m_Guard.passShare(0), 1.0);
}

TEST_F(DownstreamGuardTest, Refuse_FifthBelow_WastesLittleAndFillsIt) {
  run(absl::Seconds(5), 200);
  EXPECT_LT(run(absl::Seconds(10), 200), 0.15);
  EXPECT_GT(m_Guard.passShare(0), 0.15);
}

TEST_F(DownstreamGuardTest, Refuse_CapacityBelowIsBack_OpensWithinTwoSeconds) {
  run(absl::Seconds(5), 100);
  run(absl::Seconds(2), 1100);
  EXPECT_EQ(m_Guard.passShare(0), 1.0);
}

TEST_F(DownstreamGuardTest, Refuse_OtherCustomerIsRefusedBelow_LetsThrough) {
  run(absl::Seconds(5), 100);
  EXPECT_EQ(m_Guard.passShare(1), 1.0);
}

TEST_F(DownstreamGuardTest, Observe_OneOfFewRefusedBelow_StaysOpenForTheRest) {
  m_Guard.observe(true, m_Now, 0);
  for (int Second = 1; Second <= 10; ++Second) {
    m_Now += absl::Seconds(1);
    m_Guard.observe(false, m_Now, 0);
    EXPECT_GT(m_Guard.passShare(0), 0.8);
  }
  EXPECT_EQ(m_Guard.passShare(0), 1.0);
}

} // namespace
} // namespace knapweedloft::policy
