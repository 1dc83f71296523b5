#include "fakefleet/FakeDaemon.h"
#include "fakefleet/FakeFleet.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace knapweedloft::fakefleet {
namespace {

class SpreadTest : public testing::Test {
protected:
  static constexpr int PerSite = 12;

  SpreadTest() {
    for (int Site = 1; Site <= 3; ++Site)
      for (int Index = 1; Index <= PerSite; ++Index)
        m_Fleet.add(name(Site, Index), "dc" + std::to_string(Site));
    m_Fleet.run(absl::Seconds(20));
  }

  static std::string name(int Site, int Index) {
    return "d" + std::to_string(Site) + "-" + std::to_string(Index);
  }

  /// \returns the seconds until every daemon that is up applies all records.
  double secondsToAll(absl::Duration Most) {
    absl::Time Start = m_Fleet.now();
    while (m_Fleet.now() - Start < Most && !isAllApplied())
      m_Fleet.run(absl::Milliseconds(20));
    return absl::ToDoubleSeconds(m_Fleet.now() - Start);
  }

  bool isAllApplied() {
    std::vector<std::string> Names = m_Fleet.names();
    return std::all_of(Names.begin(), Names.end(), [&](const auto &Name) {
      return !m_Fleet.isUp(Name) || m_Fleet.daemon(Name).replica().offset() ==
                                        m_Fleet.log().m_Records.size();
    });
  }

  std::vector<std::string> followers(int Site) {
    std::vector<std::string> Found;
    for (int Index = 1; Index <= PerSite; ++Index)
      if (m_Fleet.isUp(name(Site, Index)) &&
          m_Fleet.daemon(name(Site, Index)).spread().isFollower())
        Found.push_back(name(Site, Index));
    return Found;
  }

  policy::Freshness freshness(const std::string &Name) {
    FakeDaemon &One = m_Fleet.daemon(Name);
    return One.spread().freshness(One.clock());
  }

  FakeFleet m_Fleet{{.m_Seed = 9, .m_HasRates = false}};
};

TEST_F(SpreadTest, Follow_SettledFleet_ThreeOfEachDataCenterDo) {
  for (int Site = 1; Site <= 3; ++Site)
    EXPECT_EQ(followers(Site).size(), 3U);
}

TEST_F(SpreadTest, Records_OneChange_ReachAllWithinASecond) {
  m_Fleet.put(model::Customer{"c", ""});
  EXPECT_LT(secondsToAll(absl::Seconds(10)), 1);
}

TEST_F(SpreadTest, Records_SlowLog_ReachAllWithinTwoReads) {
  m_Fleet.log().m_Latency = absl::Seconds(2);
  m_Fleet.run(absl::Seconds(10));
  m_Fleet.put(model::Customer{"c", ""});
  EXPECT_LT(secondsToAll(absl::Seconds(20)), 5);
}

TEST_F(SpreadTest, Records_AllFollowersOfADataCenterCrash_StillReachAll) {
  for (const std::string &Name : followers(2))
    m_Fleet.crash(Name);
  m_Fleet.put(model::Customer{"c", ""});
  EXPECT_LT(secondsToAll(absl::Seconds(30)), 6);
}

TEST_F(SpreadTest, Start_LogIsAway_TakesTheStateOfPeers) {
  m_Fleet.put(model::Customer{"c", ""});
  m_Fleet.run(absl::Seconds(5));
  m_Fleet.log().m_IsUnavailable = true;
  m_Fleet.run(absl::Seconds(10));
  std::string Late = name(1, 5);
  m_Fleet.restart(Late);
  // Its settings name a peer.
  m_Fleet.connect(m_Fleet.daemon(Late), name(1, 6));
  m_Fleet.run(absl::Seconds(10));
  EXPECT_EQ(m_Fleet.daemon(Late).replica().offset(),
            m_Fleet.log().m_Records.size());
  EXPECT_EQ(freshness(Late), policy::Freshness::LogUnavailable);
}

TEST_F(SpreadTest, Freshness_LogAwayForAll_ServiceGoesOn) {
  m_Fleet.log().m_IsUnavailable = true;
  for (int Minute = 0; Minute < 3; ++Minute) {
    m_Fleet.run(absl::Minutes(1));
    for (const std::string &Name : m_Fleet.names())
      EXPECT_TRUE(
          m_Fleet.daemon(Name).spread().isTrusted(m_Fleet.daemon(Name).clock()))
          << Name;
  }
}

TEST_F(SpreadTest, Freshness_OneDaemonCutOff_RefusesWithinTheBound) {
  std::string Lone = name(3, 4);
  for (const std::string &Name : m_Fleet.names()) {
    m_Fleet.cut(Lone, Name, true);
    m_Fleet.cut(Name, Lone, true);
  }
  m_Fleet.setLogReach(Lone, false);
  m_Fleet.run(absl::Seconds(6));
  FakeDaemon &One = m_Fleet.daemon(Lone);
  EXPECT_FALSE(One.spread().isTrusted(One.clock()));
  EXPECT_TRUE(m_Fleet.daemon(name(3, 5))
                  .spread()
                  .isTrusted(m_Fleet.daemon(name(3, 5)).clock()));
}

/// The data center that reaches the log serves, the others do not.
TEST_F(SpreadTest, Freshness_DataCentersSplit_OnlyReadersAreTrusted) {
  for (int Index = 1; Index <= PerSite; ++Index)
    for (const std::string &Name : m_Fleet.names()) {
      if (Name[1] == '1')
        continue;
      m_Fleet.cut(name(1, Index), Name, true);
      m_Fleet.cut(Name, name(1, Index), true);
      m_Fleet.setLogReach(Name, false);
    }
  m_Fleet.run(absl::Seconds(15));
  EXPECT_EQ(freshness(name(1, 3)), policy::Freshness::Fresh);
  EXPECT_EQ(freshness(name(2, 3)), policy::Freshness::Partitioned);
  EXPECT_EQ(freshness(name(3, 3)), policy::Freshness::Partitioned);
}

TEST_F(SpreadTest, Reports_OneDaemonBehind_IsNamedToAll) {
  m_Fleet.pause(name(2, 7), absl::Seconds(5));
  m_Fleet.put(model::Customer{"c", ""});
  model::LogOffset Revision = m_Fleet.log().m_Records.size();
  m_Fleet.run(absl::Milliseconds(4900));
  app::AppliedSummary Seen = m_Fleet.daemon(name(1, 1)).spread().fleetApplied();
  EXPECT_EQ(Seen.countAt(Revision), 3U * PerSite - 1);
  EXPECT_EQ(Seen.behind(Revision), std::vector<std::string>{name(2, 7)});
}

TEST_F(SpreadTest, Reports_SettledFleet_CountsEveryoneEverywhere) {
  m_Fleet.put(model::Customer{"c", ""});
  model::LogOffset Revision = m_Fleet.log().m_Records.size();
  m_Fleet.run(absl::Seconds(8));
  for (const std::string &Name : m_Fleet.names())
    EXPECT_EQ(m_Fleet.daemon(Name).spread().fleetApplied().countAt(Revision),
              3U * PerSite)
        << Name;
}

TEST_F(SpreadTest, Records_RandomRestarts_StateNeverGoesBack) {
  std::map<std::string, model::LogOffset> Reached;
  for (int Step = 0; Step < 200; ++Step) {
    m_Fleet.put(model::Customer{"c" + std::to_string(Step), ""});
    if (Step % 10 == 0) {
      std::string Name = name(1 + Step / 10 % 3, 1 + Step / 10 % PerSite);
      m_Fleet.restart(Name);
      Reached.erase(Name);
    }
    m_Fleet.run(absl::Milliseconds(200));
    for (const std::string &Name : m_Fleet.names()) {
      model::LogOffset Offset = m_Fleet.daemon(Name).replica().offset();
      EXPECT_GE(Offset, Reached[Name]);
      Reached[Name] = Offset;
    }
  }
  EXPECT_LT(secondsToAll(absl::Seconds(30)), 15);
}

} // namespace
} // namespace knapweedloft::fakefleet
