#include "fakefleet/FakeDaemon.h"
#include "fakefleet/FakeFleet.h"

#include "gtest/gtest.h"

namespace knapweedloft::fakefleet {
namespace {

class MembershipTest : public testing::Test {
protected:
  MembershipTest() {
    for (int Site = 1; Site <= 3; ++Site)
      for (int Index = 1; Index <= 4; ++Index)
        m_Fleet.add("d" + std::to_string(Site) + "-" + std::to_string(Index),
                    "dc" + std::to_string(Site));
    m_Fleet.run(absl::Seconds(10));
  }

  std::size_t memberCount(const std::string &SeenBy) {
    return m_Fleet.daemon(SeenBy).replica().store().share()->members().size();
  }

  bool isMember(const std::string &SeenBy, const std::string &Name) {
    state::SnapshotPtr State = m_Fleet.daemon(SeenBy).replica().store().share();
    const model::Member *Who = State->findMember(Name);
    return Who &&
           Who->m_Incarnation == m_Fleet.daemon(Name).self().m_Incarnation;
  }

  /// Records of deaths that daemons appended.
  std::uint64_t deaths() {
    std::uint64_t Sum = 0;
    for (const std::string &Name : m_Fleet.names())
      Sum += m_Fleet.daemon(Name).members().counters().m_Deaths;
    return Sum;
  }

  FakeFleet m_Fleet{{.m_Seed = 5, .m_HasRates = false}};
};

TEST_F(MembershipTest, Join_FreshFleet_EveryoneKnowsEveryone) {
  for (const std::string &Name : m_Fleet.names())
    EXPECT_EQ(memberCount(Name), 12U) << Name;
}

TEST_F(MembershipTest, Crash_OneDaemon_LeavesOnceWithinTenSeconds) {
  m_Fleet.crash("d1-2");
  m_Fleet.run(absl::Seconds(10));
  EXPECT_EQ(memberCount("d3-1"), 11U);
  EXPECT_EQ(deaths(), 1U);
}

TEST_F(MembershipTest, Pause_ShorterThanSuspicion_NobodyLeaves) {
  m_Fleet.pause("d2-1", absl::Seconds(3));
  m_Fleet.run(absl::Seconds(20));
  EXPECT_EQ(deaths(), 0U);
}

TEST_F(MembershipTest, Pause_Long_DaemonRejoinsAfterwards) {
  m_Fleet.pause("d2-1", absl::Seconds(20));
  m_Fleet.run(absl::Seconds(15));
  EXPECT_FALSE(isMember("d1-1", "d2-1"));
  m_Fleet.run(absl::Seconds(30));
  EXPECT_TRUE(isMember("d1-1", "d2-1"));
  EXPECT_EQ(memberCount("d2-1"), 12U);
}

TEST_F(MembershipTest, Restart_NewIncarnation_IsNotTakenForItsFormerSelf) {
  m_Fleet.restart("d2-1");
  m_Fleet.run(absl::Seconds(20));
  EXPECT_TRUE(isMember("d1-1", "d2-1"));
  EXPECT_EQ(memberCount("d3-2"), 12U);
}

TEST_F(MembershipTest, Cut_OneDirectionBetweenTwo_NoSuspicionLasts) {
  std::vector<std::string> Names = m_Fleet.names();
  for (std::size_t Index = 1; Index < Names.size(); ++Index)
    m_Fleet.cut(Names[0], Names[Index], Index % 2 == 0);
  m_Fleet.run(absl::Seconds(120));
  EXPECT_EQ(deaths(), 0U);
  EXPECT_EQ(memberCount("d3-1"), 12U);
}

TEST_F(MembershipTest, Cut_OneDaemonFromAll_DeclaresNobodyDead) {
  for (const std::string &Name : m_Fleet.names()) {
    m_Fleet.cut("d1-1", Name, true);
    m_Fleet.cut(Name, "d1-1", true);
  }
  m_Fleet.run(absl::Seconds(30));
  EXPECT_EQ(m_Fleet.daemon("d1-1").members().counters().m_Deaths, 0U);
  EXPECT_FALSE(isMember("d3-1", "d1-1"));
  EXPECT_EQ(memberCount("d3-1"), 11U);
}

TEST_F(MembershipTest, Crash_WholeDataCenter_AllLeaveAndComeBack) {
  std::vector<std::string> Lost{"d1-1", "d1-2", "d1-3", "d1-4"};
  for (const std::string &Name : Lost)
    m_Fleet.crash(Name);
  m_Fleet.run(absl::Seconds(40));
  EXPECT_EQ(memberCount("d3-1"), 8U);
  for (const std::string &Name : Lost)
    m_Fleet.restart(Name);
  m_Fleet.run(absl::Seconds(30));
  EXPECT_EQ(memberCount("d3-1"), 12U);
  EXPECT_EQ(memberCount("d1-1"), 12U);
}

} // namespace
} // namespace knapweedloft::fakefleet
