#include "policy/DownstreamGuard.h"

#include "gtest/gtest.h"

#include <random>

namespace knapweedloft::policy {
namespace {

class DownstreamGuardTest : public testing::Test {
protected:
  /// Offers 1000 requests a second to a downstream service that serves
  /// \p Capacity requests a second.
  /// \returns the share of admitted requests that was refused downstream.
  double run(absl::Duration Span, double Capacity) {
    absl::Time End = m_Now + Span;
    double Admitted = 0;
    double Refused = 0;
    double Tokens = 0;
    for (; m_Now < End; m_Now += absl::Milliseconds(1)) {
      Tokens = std::min(Tokens + Capacity / 1000, 10.0);
      if (m_Guard.refuse(m_Now, m_Random, 0))
        continue;
      bool IsRefusedDownstream = Tokens < 1;
      Tokens -= IsRefusedDownstream ? 0 : 1;
      Admitted += 1;
      Refused += IsRefusedDownstream ? 1 : 0;
      m_Guard.observe(IsRefusedDownstream, m_Now, 0);
    }
    return Refused / Admitted;
  }

  absl::Time m_Now = absl::UnixEpoch();
  std::mt19937_64 m_Random{1};
  DownstreamGuard m_Guard{{}};
};

TEST_F(DownstreamGuardTest, Refuse_EnoughCapacityDownstream_AdmitsAll) {
  run(absl::Seconds(5), 1100);
  EXPECT_EQ(m_Guard.admittedShare(0), 1.0);
}

TEST_F(DownstreamGuardTest,
       Refuse_FifthOfCapacityDownstream_WastesLittleAndUsesIt) {
  run(absl::Seconds(5), 200);
  EXPECT_LT(run(absl::Seconds(10), 200), 0.15);
  EXPECT_GT(m_Guard.admittedShare(0), 0.15);
}

TEST_F(DownstreamGuardTest,
       Refuse_DownstreamRecovers_AdmitsAllWithinTwoSeconds) {
  run(absl::Seconds(5), 100);
  run(absl::Seconds(2), 1100);
  EXPECT_EQ(m_Guard.admittedShare(0), 1.0);
}

TEST_F(DownstreamGuardTest, Refuse_OtherCustomerIsRefusedDownstream_Admits) {
  run(absl::Seconds(5), 100);
  EXPECT_EQ(m_Guard.admittedShare(1), 1.0);
}

TEST_F(DownstreamGuardTest, Observe_OneOfFewRefusedDownstream_StillAdmitsMost) {
  m_Guard.observe(true, m_Now, 0);
  for (int Second = 1; Second <= 10; ++Second) {
    m_Now += absl::Seconds(1);
    m_Guard.observe(false, m_Now, 0);
    EXPECT_GT(m_Guard.admittedShare(0), 0.8);
  }
  EXPECT_EQ(m_Guard.admittedShare(0), 1.0);
}

} // namespace
} // namespace knapweedloft::policy
