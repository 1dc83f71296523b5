#include "TestFleet.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace knapweedloft::mesh {
namespace {

using policy::RequestStanding;
using testing::TestFleet;

/// The users' rule on requests that crash their targets: retries later than
/// StabilityWindow after the third crash.
constexpr std::size_t MaxRetries = 3;
constexpr absl::Duration StabilityWindow = absl::Seconds(3);
constexpr int Quarantined = 422;

const std::string Poison = "/reads/poison";
const std::string OtherPoison = "/reads/venom";
const std::string Popular = "/reads/popular";
const std::string Sound = "/reads/sound/";

constexpr std::size_t ManyServicesDaemons = 12;

/// The parameter is the number of daemons. ManyServicesDaemons are four
/// services of three targets, one of each in every data center; others are one
/// service.
class CrashingRequestTest : public ::testing::TestWithParam<std::size_t> {
protected:
  explicit CrashingRequestTest(bool HasCompany = false)
      : m_Fleet(options(GetParam(), HasCompany)) {
    m_Fleet.makePoisonous(Poison);
    m_Fleet.makePoisonous(OtherPoison);
  }

  static TestFleet::Options options(std::size_t Daemons, bool HasCompany) {
    TestFleet::Options Options{.m_Daemons = Daemons};
    if (HasCompany) {
      Options.m_CrashDelay = absl::Milliseconds(5);
      Options.m_RetryBudget = {.m_Ratio = 0.2, .m_MaxTokens = 20};
    }
    if (Daemons != ManyServicesDaemons)
      return Options;
    Options.m_Services = 4;
    Options.m_LinkDelay = absl::Microseconds(200);
    Options.m_RemoteDelay = absl::Microseconds(900);
    return Options;
  }

  /// Every daemon receives the requests at once, beside sound ones.
  void sendToAll(const std::vector<std::string> &Paths = {Poison}) {
    for (std::size_t Index = 0; Index < m_Fleet.size(); ++Index) {
      m_Fleet.request(Index, Sound + std::to_string(++m_LastSound));
      m_Fleet.request(Index, Popular);
      for (const std::string &Path : Paths)
        m_Fleet.request(Index, Path);
    }
  }

  void resend(int Times, absl::Duration Interval = absl::Seconds(6),
              const std::vector<std::string> &Paths = {Poison}) {
    constexpr absl::Duration Before = absl::Seconds(1);
    for (int Time = 0; Time < Times; ++Time) {
      sendSound(Before);
      sendToAll(Paths);
      m_Fleet.run(Interval - Before);
    }
  }

  /// One daemon after the other receives the request.
  void resendInTurn(int Times, absl::Duration Interval) {
    for (int Time = 0; Time < Times; ++Time) {
      m_Fleet.request(static_cast<std::size_t>(Time) % m_Fleet.size(), Poison);
      m_Fleet.run(Interval);
    }
  }

  void sendSound(absl::Duration For) {
    constexpr absl::Duration Interval = absl::Milliseconds(50);
    for (absl::Duration Sent; Sent < For; Sent += Interval) {
      for (std::size_t Index = 0; Index < m_Fleet.size(); ++Index) {
        m_Fleet.request(Index, Sound + std::to_string(++m_LastSound));
        m_Fleet.request(Index, Popular);
      }
      m_Fleet.run(Interval);
    }
  }

  void expectBounded(const std::string &Path = Poison) {
    std::size_t Late = m_Fleet.arrivalsAfterThirdCrash(Path, StabilityWindow);
    RecordProperty("crashes", std::to_string(m_Fleet.crashes(Path).size()));
    RecordProperty("late_arrivals", std::to_string(Late));
    EXPECT_LE(Late, MaxRetries)
        << m_Fleet.crashes(Path).size() << " targets crashed in all";
  }

  void expectNoSoundRequestQuarantined() {
    EXPECT_EQ(m_Fleet.answered(Sound, Quarantined), 0U);
    EXPECT_EQ(m_Fleet.answered(Popular, Quarantined), 0U);
  }

  [[nodiscard]] std::size_t listed(RequestStanding Standing) {
    auto Listed = m_Fleet.quarantine(0).list(m_Fleet.now());
    return static_cast<std::size_t>(
        std::count_if(Listed.begin(), Listed.end(), [&](const auto &One) {
          return One.m_Standing == Standing;
        }));
  }

  /// Skips to the end of the quarantine, however long the crashes made it.
  void skipQuarantine() {
    constexpr int MaxHours = 21 * 24;
    for (int Hour = 0; Hour < MaxHours; ++Hour) {
      if (listed(RequestStanding::Quarantined) == 0)
        return;
      m_Fleet.skip(absl::Hours(1));
    }
  }

  TestFleet m_Fleet;
  int m_LastSound = 0;
};

// Guards against requests that crash every target being sent on without end.
TEST_P(CrashingRequestTest, Resend_ByAllDaemons_ReachesFewTargetsAfterThird) {
  resend(10);
  expectBounded();
  expectNoSoundRequestQuarantined();
  EXPECT_GT(m_Fleet.answered(Poison, Quarantined), 0U);
}

TEST_P(CrashingRequestTest, Resend_ByOneDaemonInTurn_ReachesFewTargets) {
  resendInTurn(40, absl::Milliseconds(1300));
  EXPECT_GE(m_Fleet.crashes(Poison).size(), 3U);
  expectBounded();
}

TEST_P(CrashingRequestTest, Resend_StoreUnavailable_ReachesFewTargets) {
  m_Fleet.setStoreAvailable(false);
  resendInTurn(10, absl::Seconds(2));
  resend(5);
  expectBounded();
  expectNoSoundRequestQuarantined();
}

TEST_P(CrashingRequestTest, Resend_DaemonsRestarted_ReachesFewTargets) {
  for (std::size_t Time = 0; Time < 20; ++Time) {
    m_Fleet.request(Time % m_Fleet.size(), Poison);
    m_Fleet.run(absl::Seconds(2));
    std::vector<std::size_t> Half;
    for (std::size_t Index = 0; Index < m_Fleet.size(); Index += 2)
      Half.push_back((Index + Time) % m_Fleet.size());
    m_Fleet.restartDaemons(Half);
    m_Fleet.run(absl::Seconds(1));
  }
  expectBounded();
}

TEST_P(CrashingRequestTest, Resend_AllDaemonsRestartedAtOnce_StoreReminds) {
  resendInTurn(10, absl::Seconds(2));
  std::vector<std::size_t> All(m_Fleet.size());
  std::iota(All.begin(), All.end(), 0);
  m_Fleet.restartDaemons(All);
  m_Fleet.run(absl::Seconds(1));
  resend(5);
  expectBounded();
}

// Guards against crashes that are forgotten with a store that lost them.
TEST_P(CrashingRequestTest, Resend_StoreRestoredThenAllRestarted_StaysBounded) {
  constexpr std::size_t All = 1'000'000;
  resendInTurn(10, absl::Seconds(2));
  m_Fleet.restoreStore(All);
  m_Fleet.run(absl::Seconds(2));
  std::vector<std::size_t> Daemons(m_Fleet.size());
  std::iota(Daemons.begin(), Daemons.end(), 0);
  m_Fleet.restartDaemons(Daemons);
  m_Fleet.run(absl::Seconds(1));
  resend(5);
  expectBounded();
  expectNoSoundRequestQuarantined();
  EXPECT_GT(m_Fleet.answered(Poison, Quarantined), 0U);
}

TEST_P(CrashingRequestTest, Resend_LinksBetweenZonesCut_ReachesFewTargets) {
  m_Fleet.cutLinks([](std::size_t Left, std::size_t Right) {
    return Left % 3 != Right % 3;
  });
  resendInTurn(30, absl::Seconds(2));
  resend(5);
  m_Fleet.healLinks();
  resend(3);
  expectBounded();
  expectNoSoundRequestQuarantined();
}

TEST_P(CrashingRequestTest, Resend_TwoCrashingRequests_BothReachFewTargets) {
  resend(10, absl::Seconds(6), {Poison, OtherPoison});
  expectBounded(Poison);
  expectBounded(OtherPoison);
  expectNoSoundRequestQuarantined();
}

TEST_P(CrashingRequestTest, Resend_QuarantinesEnd_OneTargetEach) {
  resend(3);
  std::size_t Before = m_Fleet.crashes(Poison).size();
  EXPECT_EQ(listed(RequestStanding::Quarantined), 1U);
  // All daemons receive the request at the end.
  skipQuarantine();
  EXPECT_EQ(listed(RequestStanding::Probation), 1U);
  resend(3);
  EXPECT_EQ(m_Fleet.crashes(Poison).size(), Before + 1);
  EXPECT_EQ(listed(RequestStanding::Quarantined), 1U);
}

TEST_P(CrashingRequestTest, Resend_RequestNoLongerCrashes_IsCleared) {
  resend(3);
  m_Fleet.cure(Poison);
  skipQuarantine();
  resend(2);
  EXPECT_EQ(listed(RequestStanding::Quarantined), 0U);
  std::size_t Refused = m_Fleet.answered(Poison, Quarantined);
  resend(2);
  EXPECT_EQ(m_Fleet.answered(Poison, Quarantined), Refused);
  EXPECT_GT(m_Fleet.answered(Poison, 200), 0U);
}

TEST_P(CrashingRequestTest, Release_ByOperator_RunsAgainOnAllDaemons) {
  resend(3);
  m_Fleet.cure(Poison);
  auto Listed = m_Fleet.quarantine(0).list(m_Fleet.now());
  ASSERT_EQ(Listed.size(), 1U);
  EXPECT_NE(Listed[0].m_DecidedBy.find("daemon-"), std::string::npos);
  EXPECT_TRUE(
      m_Fleet.quarantine(0).release(Listed[0].m_Fingerprint, m_Fleet.now()));
  m_Fleet.run(absl::Milliseconds(100));
  std::size_t Refused = m_Fleet.answered(Poison, Quarantined);
  resend(2);
  EXPECT_EQ(m_Fleet.answered(Poison, Quarantined), Refused);
}

TEST_P(CrashingRequestTest, SoundRequests_UnrelatedCrashes_AreNotQuarantined) {
  for (std::size_t Time = 0; Time < 6; ++Time) {
    sendSound(absl::Seconds(1));
    m_Fleet.crashTarget(Time % m_Fleet.size());
    sendSound(absl::Seconds(6));
  }
  expectNoSoundRequestQuarantined();
  EXPECT_EQ(listed(RequestStanding::Quarantined), 0U);
}

TEST_P(CrashingRequestTest, SoundRequests_RackCrashes_AreNotQuarantined) {
  sendSound(absl::Seconds(1));
  for (std::size_t Index = 0; Index < m_Fleet.size(); Index += 3) {
    m_Fleet.crashTarget(Index);
    sendSound(absl::Milliseconds(100));
  }
  sendSound(absl::Seconds(6));
  expectNoSoundRequestQuarantined();
}

TEST_P(CrashingRequestTest, SoundRequests_TargetsReplaced_AreNotSuspected) {
  for (std::size_t Index = 0; Index < m_Fleet.size(); ++Index) {
    sendSound(absl::Milliseconds(500));
    m_Fleet.drainTarget(Index);
    sendSound(absl::Milliseconds(1500));
  }
  EXPECT_EQ(m_Fleet.quarantine(0).evidence().crashes(), 0U);
}

TEST_P(CrashingRequestTest, SoundRequests_ConnectionsReset_AreNotSuspected) {
  for (int Time = 0; Time < 4; ++Time) {
    sendSound(absl::Seconds(1));
    for (std::size_t Index = 0; Index < m_Fleet.size(); ++Index)
      m_Fleet.resetConnections(Index);
  }
  m_Fleet.run(absl::Seconds(3));
  EXPECT_EQ(m_Fleet.quarantine(0).evidence().crashes(), 0U);
}

TEST_P(CrashingRequestTest, SoundRequests_BesideCrashingOne_AreNotQuarantined) {
  for (int Time = 0; Time < 8; ++Time) {
    m_Fleet.request(static_cast<std::size_t>(Time) % m_Fleet.size(), Poison);
    sendSound(absl::Seconds(3));
  }
  expectBounded();
  expectNoSoundRequestQuarantined();
  EXPECT_EQ(listed(RequestStanding::Quarantined), 1U);
}

TEST_P(CrashingRequestTest, Crash_ManyRequestsInFlight_BoundsMemoryAndBytes) {
  // 512 fingerprints and what surrounds them.
  constexpr std::size_t MaxBytesPerReport = 512 * 8 + 1024;
  constexpr std::size_t Rounds = 5;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    for (int Sent = 0; Sent < 100; ++Sent)
      for (std::size_t Index = 0; Index < m_Fleet.size(); ++Index)
        m_Fleet.request(Index, Sound + std::to_string(++m_LastSound));
    m_Fleet.run(absl::Milliseconds(30));
    for (std::size_t Index = 0; Index < m_Fleet.size(); ++Index)
      m_Fleet.crashTarget(Index);
    m_Fleet.run(absl::Seconds(5));
  }
  std::size_t Reports = Rounds * m_Fleet.size();
  EXPECT_LE(m_Fleet.evidenceBytes(),
            Reports * m_Fleet.size() * MaxBytesPerReport);
  EXPECT_LE(m_Fleet.quarantine(0).evidence().fingerprints(), 16'384U);
}

/// Sound requests that were started with the crashing one still run when their
/// target ends, and are retried beside it.
class CrashingRequestCompanyTest : public CrashingRequestTest {
protected:
  CrashingRequestCompanyTest() : CrashingRequestTest(true) {}

  void sendWithCompany(std::size_t Entry) {
    constexpr int Company = 6;
    for (int Count = 0; Count < Company; ++Count)
      m_Fleet.request(Entry, Sound + std::to_string(++m_LastSound));
    m_Fleet.request(Entry, Poison);
  }
};

// Guards against a crashing request that sound ones, retried beside it, excuse
// for ever.
TEST_P(CrashingRequestCompanyTest, Resend_SoundRequestsBesideIt_StaysBounded) {
  sendSound(absl::Seconds(5));
  for (std::size_t Time = 0; Time < 40; ++Time) {
    sendWithCompany(Time % m_Fleet.size());
    sendSound(absl::Seconds(6));
  }
  EXPECT_GE(m_Fleet.crashes(Poison).size(), 3U);
  expectBounded();
  expectNoSoundRequestQuarantined();
}

INSTANTIATE_TEST_SUITE_P(Daemons, CrashingRequestTest,
                         ::testing::Values(3, ManyServicesDaemons, 13, 60));
// With two targets all that was in flight is retried at the same one.
INSTANTIATE_TEST_SUITE_P(Daemons, CrashingRequestCompanyTest,
                         ::testing::Values(2, 3, ManyServicesDaemons, 13, 60));

} // namespace
} // namespace knapweedloft::mesh
