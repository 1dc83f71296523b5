#include "TestFleet.h"

#include "gtest/gtest.h"

#include <string>

namespace knapweedloft::mesh {
namespace {

using testing::TestFleet;

/// The users' rule on requests that crash their targets: retries later than
/// StabilityWindow after the third crash.
constexpr std::size_t MaxRetries = 3;
constexpr absl::Duration StabilityWindow = absl::Seconds(3);

const std::string Poison = "/reads/poison";

class CrashingRequestTest : public ::testing::TestWithParam<std::size_t> {
protected:
  CrashingRequestTest() : m_Fleet({.m_Daemons = GetParam()}) {
    m_Fleet.makePoisonous(Poison);
  }

  /// Every daemon receives the request at once, then again and again, beside
  /// others that are sound.
  void resend(int Times, absl::Duration Interval) {
    for (int Time = 0; Time < Times; ++Time) {
      for (std::size_t Index = 0; Index < m_Fleet.size(); ++Index) {
        m_Fleet.request(Index, "/reads/" + std::to_string(++m_LastSound));
        m_Fleet.request(Index, Poison);
      }
      m_Fleet.run(Interval);
    }
  }

  void expectBounded(const std::string &Path) {
    std::size_t Late = m_Fleet.arrivalsAfterThirdCrash(Path, StabilityWindow);
    RecordProperty("crashes", std::to_string(m_Fleet.crashes(Path).size()));
    RecordProperty("late_arrivals", std::to_string(Late));
    EXPECT_LE(Late, MaxRetries)
        << m_Fleet.crashes(Path).size() << " targets crashed in all";
  }

  TestFleet m_Fleet;
  int m_LastSound = 0;
};

// Guards against requests that crash every target being sent on without end.
TEST_P(CrashingRequestTest, Resend_ByAllDaemons_ReachesFewTargetsAfterThird) {
  resend(10, absl::Seconds(6));
  expectBounded(Poison);
}

INSTANTIATE_TEST_SUITE_P(Daemons, CrashingRequestTest,
                         ::testing::Values(3, 13, 60));

} // namespace
} // namespace knapweedloft::mesh
