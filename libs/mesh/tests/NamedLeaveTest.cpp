#include "TestFleet.h"

#include "gtest/gtest.h"

#include <cstddef>
#include <string>

namespace knapweedloft::mesh {
namespace {

using testing::TestFleet;

/// The users' rule: nothing that a caller sends this long after the word was
/// passed on reaches the target.
constexpr absl::Duration DrainTime = absl::Seconds(2);

/// The parameter is the number of daemons. The first target leaves and says so
/// in its answers only.
class NamedLeaveTest : public ::testing::TestWithParam<std::size_t> {
protected:
  NamedLeaveTest() : m_Fleet({.m_Daemons = GetParam()}) {}

  void send(absl::Duration For) {
    constexpr absl::Duration Interval = absl::Milliseconds(50);
    for (absl::Time End = m_Fleet.now() + For; m_Fleet.now() < End;) {
      for (std::size_t Index = 0; Index < m_Fleet.size(); ++Index)
        m_Fleet.request(Index, "/reads/" + std::to_string(++m_Sent));
      m_Fleet.run(Interval);
    }
  }

  void leave() {
    send(absl::Seconds(2));
    m_Fleet.sayLeaving(0);
    m_Left = m_Fleet.now();
    send(absl::Seconds(3));
  }

  /// Requests that reached the target by daemons that had passed on the word.
  [[nodiscard]] std::size_t lateFromTold() const {
    return m_Fleet.mostFromTold(0, m_Left + DrainTime, absl::Hours(1));
  }

  TestFleet m_Fleet;
  std::size_t m_Sent = 0;
  absl::Time m_Left;
};

// Guards against requests to a target that says in its answers that it leaves.
TEST_P(NamedLeaveTest, Leave_SaidInAnswer_GetsNoMoreRequests) {
  leave();
  send(absl::Seconds(5));
  EXPECT_EQ(m_Fleet.arrivalsAt(0, m_Left + DrainTime), 0U);
  m_Fleet.run(absl::Milliseconds(200)); // Those still running.
  EXPECT_EQ(m_Fleet.answered("/reads/", 200), m_Sent);
}

TEST_P(NamedLeaveTest, Leave_TargetsDaemonRestarts_HoldsForThoseTold) {
  leave();
  for (int Times = 0; Times < 3; ++Times) {
    m_Fleet.restartDaemons({0});
    send(absl::Seconds(2));
  }
  EXPECT_EQ(lateFromTold(), 0U);
}

TEST_P(NamedLeaveTest, Leave_StoreAwayAndLinksCut_HoldsForThoseTold) {
  leave();
  m_Fleet.setStoreAvailable(false);
  m_Fleet.restartDaemons({0});
  m_Fleet.cutLinks([](std::size_t Left, std::size_t Right) {
    return (Left % 3 == 0) != (Right % 3 == 0);
  });
  send(absl::Seconds(3));
  m_Fleet.healLinks();
  send(absl::Seconds(3));
  EXPECT_EQ(lateFromTold(), 0U);
}

TEST_P(NamedLeaveTest, Leave_NewInstanceUnderSameId_GetsRequestsAgain) {
  leave();
  m_Fleet.replaceTarget(0, true);
  absl::Time Replaced = m_Fleet.now();
  send(absl::Seconds(3));
  EXPECT_GT(m_Fleet.arrivalsAt(0, Replaced), 10U);
}

TEST_P(NamedLeaveTest, Leave_SameIdWhileDaemonRestarts_GetsRequestsAgain) {
  leave();
  m_Fleet.replaceTarget(0, true);
  m_Fleet.restartDaemons({0});
  absl::Time Replaced = m_Fleet.now();
  send(absl::Seconds(3));
  EXPECT_GT(m_Fleet.arrivalsAt(0, Replaced), 10U);
}

INSTANTIATE_TEST_SUITE_P(Daemons, NamedLeaveTest, ::testing::Values(3, 13, 60));

} // namespace
} // namespace knapweedloft::mesh
