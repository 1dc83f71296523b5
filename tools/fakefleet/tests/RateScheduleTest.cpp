#include "fakefleet/FakeDaemon.h"
#include "fakefleet/FakeFleet.h"
#include "fakefleet/RateProbe.h"
#include "policy/RateShard.h"

#include "gtest/gtest.h"

#include <optional>
#include <random>

namespace knapweedloft::fakefleet {
namespace {

constexpr int Blocks = 10;
constexpr int SchedulesPerBlock = 200;
constexpr absl::Duration ScheduleLength = absl::Seconds(30);

/// A customer that calls at three times its rate while everything fails.
class Schedule {
public:
  Schedule(std::uint64_t Seed, bool HasLinkedTargets)
      : m_Random(Seed * 7919), m_PerSecond(uniform(5, 40)),
        m_Burst(uniform(2, 60)), m_Fleet(options(Seed)) {
    for (int Index = 1; Index <= DaemonCount; ++Index)
      m_Fleet.add("d" + std::to_string(Index), Index % 2 == 0 ? "dc1" : "dc2");
    m_Fleet.put(model::Customer{"c", ""});
    m_Fleet.put(model::Rate{"c", m_PerSecond, m_Burst});
    m_Fleet.run(absl::Seconds(4));
    m_Probe.emplace(m_Fleet, "c", m_PerSecond, m_Burst);
    m_Probe->setLinkedTargets(HasLinkedTargets);
    scheduleCall();
    scheduleFault();
  }

  void run() {
    m_Fleet.run(ScheduleLength);
    m_Fleet.log().m_IsUnavailable = false;
  }

  [[nodiscard]] const RateProbe &probe() const { return *m_Probe; }

private:
  static constexpr int DaemonCount = 5;

  FakeFleet::Options options(std::uint64_t Seed) {
    return {.m_Seed = Seed,
            .m_MostLatency = absl::Milliseconds(uniform(1, 40)),
            .m_Loss = 0.05,
            .m_Repeats = 0.05,
            .m_MaxDrift = 0.0004};
  }

  double uniform(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(m_Random);
  }

  std::string any() {
    return "d" + std::to_string(1 + m_Random() % DaemonCount);
  }

  void scheduleCall() {
    std::string Name = uniform(0, 1) < 0.5 ? m_Favorite : any();
    m_Probe->call(Name);
    m_Fleet.queue().after(absl::Seconds(uniform(0, 2) / (3 * m_PerSecond)),
                          [this] { scheduleCall(); });
  }

  void scheduleFault() {
    fault();
    m_Fleet.queue().after(absl::Seconds(uniform(0.1, 4)),
                          [this] { scheduleFault(); });
  }

  void fault() {
    std::string Name = any();
    switch (m_Random() % 10) {
    case 0:
      return pause(Name);
    case 1:
      return m_Fleet.restart(Name);
    case 2:
      m_Fleet.log().m_IsUnavailable = !m_Fleet.log().m_IsUnavailable;
      return;
    case 3:
      return isolate(Name);
    case 4:
      return m_Fleet.setLogReach(Name, uniform(0, 1) < 0.5);
    case 5: // Peers that are wrong.
      return m_Fleet.append(
          state::Leave{Name, m_Fleet.daemon(Name).self().m_Incarnation, true});
    case 6:
      m_Favorite = Name;
      return;
    case 7:
      return replaceKeeper();
    case 8:
      return healAll();
    default:
      m_Fleet.log().m_Latency = absl::Milliseconds(uniform(1, 1500));
    }
  }

  /// Some caller threads stop between reading the clock and taking a token.
  void pause(const std::string &Name) {
    absl::Duration Length = absl::Seconds(uniform(0.1, 12));
    absl::Time Clock = m_Fleet.daemon(Name).clock();
    m_Fleet.pause(Name, Length);
    model::Incarnation Life = m_Fleet.daemon(Name).self().m_Incarnation;
    m_Fleet.queue().after(Length, [this, Name, Clock, Life] {
      if (m_Fleet.daemon(Name).self().m_Incarnation != Life)
        return; // Its threads ended with it.
      for (int Call = 0; Call < 3; ++Call)
        m_Probe->call(Name, Clock);
    });
  }

  /// Peers take a keeper for dead that is cut off, or paused, or well.
  void replaceKeeper() {
    std::string Name = keeper();
    if (Name.empty() || !m_Fleet.isUp(Name))
      return;
    m_Favorite = Name;
    double Choice = uniform(0, 1);
    if (Choice < 0.6)
      cutOff(Name, true, false);
    else if (Choice < 0.8)
      pause(Name);
    m_Fleet.append(
        state::Leave{Name, m_Fleet.daemon(Name).self().m_Incarnation, true});
  }

  /// \returns who keeps the customer's shard by the daemon furthest on.
  std::string keeper() {
    state::KeeperRecord Newest;
    for (const std::string &Name : m_Fleet.names()) {
      state::KeeperRecord Record =
          m_Fleet.daemon(Name).replica().store().share()->keeperOf(
              policy::rateShardOf("c"));
      if (Record.m_Epoch > Newest.m_Epoch)
        Newest = Record;
    }
    return Newest.m_Name;
  }

  void healAll() {
    m_Fleet.log().m_IsUnavailable = false;
    for (const std::string &Name : m_Fleet.names()) {
      cutOff(Name, false, false);
      m_Fleet.setLogReach(Name, true);
    }
  }

  void isolate(const std::string &Name) {
    cutOff(Name, uniform(0, 1) < 0.6, uniform(0, 1) < 0.3);
  }

  void cutOff(const std::string &Name, bool IsCut, bool IsOneWay) {
    if (IsCut && !IsOneWay)
      m_Fleet.setLogReach(Name, false);
    for (const std::string &Other : m_Fleet.names()) {
      m_Fleet.cut(Name, Other, IsCut);
      m_Fleet.cut(Other, Name, IsCut && !IsOneWay);
    }
  }

  std::mt19937_64 m_Random;
  double m_PerSecond;
  double m_Burst;
  FakeFleet m_Fleet;
  std::optional<RateProbe> m_Probe;
  std::string m_Favorite = "d1";
};

class RateScheduleTest : public testing::TestWithParam<int> {
protected:
  /// The invariant: tokens spent in any window of length W are at most
  /// rate * W + burst, whatever fails.
  static void check(bool HasLinkedTargets) {
    std::uint64_t Granted = 0;
    for (int Index = 0; Index < SchedulesPerBlock; ++Index) {
      std::uint64_t Seed =
          static_cast<std::uint64_t>(GetParam()) * SchedulesPerBlock + Index +
          1;
      Schedule Run(Seed, HasLinkedTargets);
      Run.run();
      Granted += Run.probe().tally().m_Granted;
      ASSERT_LE(Run.probe().overshoot(0.001), 1e-6) << "seed " << Seed;
    }
    EXPECT_GT(Granted, 100U * SchedulesPerBlock);
  }
};

TEST_P(RateScheduleTest, Spend_RandomFaults_StaysWithinRateAndBurst) {
  check(false);
}

/// A daemon that is cut off serves its callers by its own target.
TEST_P(RateScheduleTest, Spend_CutOffWithOwnTarget_StaysWithinRateAndBurst) {
  check(true);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RateScheduleTest, testing::Range(0, Blocks));

} // namespace
} // namespace knapweedloft::fakefleet
