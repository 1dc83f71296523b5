#include "mesh/EntryAdmission.h"

#include "gtest/gtest.h"

#include "absl/random/random.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::mesh {
namespace {

/// Admission for the services "manuals", which serves manual-get without calls,
/// and "prices", whose targets call the route index of "manuals", which calls
/// "survey". One target per service.
class EntryAdmissionTest : public ::testing::Test {
protected:
  EntryAdmissionTest() : m_Admission(options()) {
    Catalog Made;
    Made.m_Routes = {
        {.m_Name = "manual-get", .m_WeightedServices = {{"manuals", 1}}},
        {.m_Name = "price-get", .m_WeightedServices = {{"prices", 1}}},
        {.m_Name = "index", .m_WeightedServices = {{"manuals", 1}}},
        {.m_Name = "survey-get",
         .m_WeightedServices = {{"survey", 9}, {"trial", 1}}}};
    m_Catalog = std::make_shared<const CatalogIndex>(std::move(Made));
    m_Admission.setCatalog(m_Catalog);
    m_Calls["prices"] = {{"price-get", "index"}};
    m_Calls["manuals"] = {{"index", "survey-get"}};
  }

  EntryAdmission::Options options() {
    EntryAdmission::Options Options;
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

  /// \returns how many of 400 requests over 4 s are admitted while \p
  /// Bottleneck reports that the share \p Rejected of new work must be
  /// rejected.
  std::size_t countAdmitted(const std::string &Route,
                            const std::string &Bottleneck, double Rejected,
                            std::uint32_t Rank = 1) {
    const CatalogRoute *Requested = m_Catalog->route(Route);
    std::size_t Admitted = 0;
    for (int Index = 0; Index < 400; ++Index) {
      m_Now += absl::Milliseconds(10);
      m_Admission.onLoad(Bottleneck, 1, Rejected, 10, m_Now);
      Admitted += m_Admission.tryAdmit(
                      {.m_Route = Requested,
                       .m_Service = &Requested->m_WeightedServices[0].m_Service,
                       .m_Rank = Rank,
                       .m_TimeBudget = absl::Seconds(3)},
                      m_Now, m_Random)
                      ? 1
                      : 0;
    }
    return Admitted;
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  absl::BitGen m_Random;
  std::map<std::string, std::vector<CallEdge>> m_Calls;
  CatalogPtr m_Catalog;
  EntryAdmission m_Admission;
};

TEST_F(EntryAdmissionTest, TryAdmit_BottleneckTwoCallsDownstream_RejectsMost) {
  countAdmitted("price-get", "survey", 0);
  std::size_t Admitted = countAdmitted("price-get", "survey", 0.9);
  EXPECT_GT(Admitted, 0U);
  EXPECT_LT(Admitted, 160U);
}

TEST_F(EntryAdmissionTest,
       TryAdmit_OnlyAnotherRouteOfTheServiceCalls_AdmitsAll) {
  countAdmitted("price-get", "survey", 0);
  EXPECT_EQ(countAdmitted("manual-get", "survey", 0.9), 400U);
}

TEST_F(EntryAdmissionTest,
       TryAdmit_BottleneckWithSmallWeight_LimitsItsShareOnly) {
  countAdmitted("price-get", "trial", 0);
  EXPECT_GT(countAdmitted("price-get", "trial", 0.9), 340U);
}

TEST_F(EntryAdmissionTest,
       TryAdmit_HighPriorityRequestsOfOtherServices_TakeNoCapacity) {
  countAdmitted("price-get", "survey", 0);
  for (int Round = 0; Round < 4; ++Round)
    countAdmitted("manual-get", "survey", 0.3, 0);
  // As many as the survey accepts, though the manuals have higher priority.
  EXPECT_GT(countAdmitted("price-get", "survey", 0.3), 240U);
}

TEST_F(EntryAdmissionTest, TryAdmit_CalledRouteIsNotInTheCatalog_AdmitsAll) {
  m_Calls["manuals"] = {{"index", "former"}};
  m_Admission.onTargetsChanged();
  EXPECT_EQ(countAdmitted("price-get", "survey", 0.9), 400U);
}

} // namespace
} // namespace knapweedloft::mesh
