#include "mesh/EntryDoor.h"

#include "gtest/gtest.h"

#include "absl/random/random.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::mesh {
namespace {

/// A door in front of manuals, which are read as they are, and of prices, whose
/// targets call the survey through the index. One target a service.
class EntryDoorTest : public ::testing::Test {
protected:
  EntryDoorTest() : m_Door(options()) {
    Catalog Made;
    Made.m_Routes = {
        {.m_Name = "manual-get", .m_Parts = {{"manuals", 1}}},
        {.m_Name = "price-get", .m_Parts = {{"prices", 1}}},
        {.m_Name = "index", .m_Parts = {{"manuals", 1}}},
        {.m_Name = "survey-get", .m_Parts = {{"survey", 9}, {"trial", 1}}}};
    m_Catalog = std::make_shared<const CatalogIndex>(std::move(Made));
    m_Door.setCatalog(m_Catalog);
    m_Calls["prices"] = {{"price-get", "index"}};
    m_Calls["manuals"] = {{"index", "survey-get"}};
  }

  EntryDoor::Options options() {
    EntryDoor::Options Options;
    Options.m_TargetsOf = [this](const std::string &Service) {
      PeerTarget Only;
      Only.m_Member.m_Incarnation = 1;
      Only.m_Member.m_Service = Service;
      Only.m_IsOpen = true;
      Only.m_Calls = m_Calls[Service];
      return std::vector<PeerTarget>{Only};
    };
    return Options;
  }

  /// \returns how many of 400 requests over 4 s pass while \p Narrow refuses
  /// \p Refused of its work.
  std::size_t passed(const std::string &Route, const std::string &Narrow,
                     double Refused, std::uint32_t Rank = 1) {
    const CatalogRoute *Asked = m_Catalog->route(Route);
    std::size_t Passed = 0;
    for (int Index = 0; Index < 400; ++Index) {
      m_Now += absl::Milliseconds(10);
      m_Door.onLoad(Narrow, 1, Refused, 10, m_Now);
      Passed += m_Door.pass({.m_Route = Asked,
                             .m_Service = &Asked->m_Parts[0].m_Service,
                             .m_Rank = Rank,
                             .m_Given = absl::Seconds(3)},
                            m_Now, m_Random)
                    ? 1
                    : 0;
    }
    return Passed;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  absl::BitGen m_Random;
  std::map<std::string, std::vector<CallEdge>> m_Calls;
  CatalogPtr m_Catalog;
  EntryDoor m_Door;
};

TEST_F(EntryDoorTest, Pass_NarrowServiceTwoCallsBelow_TurnsMostAway) {
  passed("price-get", "survey", 0);
  std::size_t Passed = passed("price-get", "survey", 0.9);
  EXPECT_GT(Passed, 0U);
  EXPECT_LT(Passed, 160U);
}

TEST_F(EntryDoorTest, Pass_OnlyAnotherRouteOfTheServiceCalls_LetsAllIn) {
  passed("price-get", "survey", 0);
  EXPECT_EQ(passed("manual-get", "survey", 0.9), 400U);
}

TEST_F(EntryDoorTest, Pass_NarrowPartOfASplit_HoldsUpItsPartOnly) {
  passed("price-get", "trial", 0);
  EXPECT_GT(passed("price-get", "trial", 0.9), 340U);
}

TEST_F(EntryDoorTest, Pass_UrgentRequestsOfOtherServices_TakeNoRoom) {
  passed("price-get", "survey", 0);
  for (int Round = 0; Round < 4; ++Round)
    passed("manual-get", "survey", 0.3, 0);
  // As many as the survey takes, though the manuals go before them.
  EXPECT_GT(passed("price-get", "survey", 0.3), 240U);
}

TEST_F(EntryDoorTest, Pass_CalledRouteIsNotInTheCatalog_LetsAllIn) {
  m_Calls["manuals"] = {{"index", "former"}};
  m_Door.onTargetsChanged();
  EXPECT_EQ(passed("price-get", "survey", 0.9), 400U);
}

} // namespace
} // namespace knapweedloft::mesh
