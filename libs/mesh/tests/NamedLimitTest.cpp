#include "TestFleet.h"

#include "gtest/gtest.h"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::mesh {
namespace {

using testing::TestFleet;

/// The users' rule: from the stability window on, in any 4 s, one and a half
/// times what the target named, and 5 requests.
constexpr absl::Duration StabilityWindow = absl::Seconds(3);
constexpr absl::Duration Span = absl::Seconds(4);

double allowed(double PerSecond) {
  return 1.5 * PerSecond * absl::ToDoubleSeconds(Span) + 5;
}

/// The parameter is the number of daemons. The first target names the limit.
class NamedLimitTest : public ::testing::TestWithParam<std::size_t> {
protected:
  NamedLimitTest() : m_Fleet({.m_Daemons = GetParam()}) {}

  /// Callers send as many requests a second to all daemons together.
  void send(double PerSecond, absl::Duration For) {
    absl::Duration Interval = absl::Seconds(1 / PerSecond);
    for (absl::Time End = m_Fleet.now() + For; m_Fleet.now() < End;) {
      ++m_Sent;
      m_Fleet.request(m_Sent % m_Fleet.size(),
                      "/reads/" + std::to_string(m_Sent));
      m_Fleet.run(Interval);
    }
  }

  /// 60 requests a second for each target.
  void sendMuch(absl::Duration For) {
    send(60.0 * static_cast<double>(m_Fleet.size()), For);
  }

  void name(const std::string &Text) {
    m_Fleet.nameRateLimit(0, Text);
    m_Named = m_Fleet.now();
  }

  void expectWithin(double PerSecond, absl::Time From) {
    EXPECT_LE(static_cast<double>(m_Fleet.mostFromTold(0, From, Span)),
              allowed(PerSecond));
  }

  [[nodiscard]] double rate(absl::Time From) const {
    return static_cast<double>(m_Fleet.arrivalsAt(0, From)) /
           absl::ToDoubleSeconds(m_Fleet.now() - From);
  }

  TestFleet m_Fleet;
  std::size_t m_Sent = 0;
  absl::Time m_Named;
};

// Guards against a target that gets more than the rate that it names.
TEST_P(NamedLimitTest, Name_UnderLoad_TargetGetsNoMore) {
  sendMuch(absl::Seconds(2));
  name("21.5");
  sendMuch(absl::Seconds(10));
  expectWithin(21.5, m_Named + StabilityWindow);
  EXPECT_LE(rate(m_Named + StabilityWindow), 21.5 * 1.1);
  EXPECT_GT(m_Fleet.arrivalsAt(0, m_Named + StabilityWindow), 20U);
}

TEST_P(NamedLimitTest, Name_OthersHaveRoom_WorkGoesThere) {
  send(20.0 * static_cast<double>(m_Fleet.size()), absl::Seconds(2));
  name("5");
  send(20.0 * static_cast<double>(m_Fleet.size()), absl::Seconds(10));
  std::size_t Answered = m_Fleet.answered("/reads/", 200);
  EXPECT_GT(static_cast<double>(Answered), 0.97 * static_cast<double>(m_Sent));
}

TEST_P(NamedLimitTest, Name_BelowOnePerSecond_TargetGetsNoMore) {
  sendMuch(absl::Seconds(2));
  name("0.5");
  sendMuch(absl::Seconds(12));
  expectWithin(0.5, m_Named + StabilityWindow);
  EXPECT_LE(m_Fleet.arrivalsAt(0, m_Named + StabilityWindow), 7U);
}

TEST_P(NamedLimitTest, Name_Zero_TargetIsAskedNowAndThen) {
  sendMuch(absl::Seconds(2));
  name("0");
  sendMuch(absl::Seconds(20));
  expectWithin(0, m_Named + StabilityWindow);
  // It could not say otherwise that it takes more again.
  EXPECT_GT(m_Fleet.arrivalsAt(0, m_Named + StabilityWindow), 0U);
}

TEST_P(NamedLimitTest, Name_RisesFallsAndLapses_IsFollowed) {
  sendMuch(absl::Seconds(2));
  name("40");
  sendMuch(absl::Seconds(5));
  name("10");
  sendMuch(absl::Seconds(8));
  expectWithin(10, m_Named + StabilityWindow);
  name("30");
  sendMuch(absl::Seconds(8));
  expectWithin(30, m_Named);
  EXPECT_GT(rate(m_Named + StabilityWindow), 12);
  name("");
  sendMuch(absl::Seconds(8));
  EXPECT_GT(rate(m_Named + StabilityWindow), 40);
}

TEST_P(NamedLimitTest, Name_Unreadable_KeepsFormerLimit) {
  sendMuch(absl::Seconds(2));
  name("10");
  sendMuch(absl::Seconds(5));
  for (const char *Text : {"-3", "nan", "inf", "many", "1e999", "10 or so"}) {
    name(Text);
    sendMuch(absl::Seconds(1));
  }
  expectWithin(10, m_Named - absl::Seconds(3));
}

// Guards against a limit that is forgotten with the daemon beside the target.
TEST_P(NamedLimitTest, Restart_OfTargetsDaemon_LimitHoldsOn) {
  sendMuch(absl::Seconds(2));
  name("1");
  sendMuch(absl::Seconds(5));
  for (int Times = 0; Times < 4; ++Times) {
    m_Fleet.restartDaemons({0});
    sendMuch(absl::Seconds(1));
  }
  sendMuch(absl::Seconds(6));
  expectWithin(1, m_Named + StabilityWindow);
}

TEST_P(NamedLimitTest, Stop_OfTargetsDaemon_LimitHoldsOn) {
  sendMuch(absl::Seconds(2));
  name("10");
  sendMuch(absl::Seconds(5));
  m_Fleet.stopDaemon(0);
  sendMuch(absl::Seconds(14));
  expectWithin(10, m_Named + StabilityWindow);
}

TEST_P(NamedLimitTest, CutLinks_StoreUnavailable_LimitHoldsOn) {
  sendMuch(absl::Seconds(2));
  name("10");
  sendMuch(absl::Seconds(5));
  m_Fleet.setStoreAvailable(false);
  m_Fleet.cutLinks([](std::size_t Left, std::size_t Right) {
    return (Left % 3 == 0) != (Right % 3 == 0);
  });
  sendMuch(absl::Seconds(4));
  m_Fleet.restartDaemons({0});
  m_Fleet.healLinks();
  sendMuch(absl::Seconds(6));
  expectWithin(10, m_Named + StabilityWindow);
}

TEST_P(NamedLimitTest, Replace_ByNewInstance_LimitIsForgotten) {
  sendMuch(absl::Seconds(2));
  name("10");
  sendMuch(absl::Seconds(5));
  m_Fleet.replaceTarget(0);
  absl::Time Replaced = m_Fleet.now();
  sendMuch(absl::Seconds(5));
  EXPECT_GT(rate(Replaced + absl::Seconds(1)), 30);
}

INSTANTIATE_TEST_SUITE_P(Daemons, NamedLimitTest, ::testing::Values(3, 13, 60));

} // namespace
} // namespace knapweedloft::mesh
