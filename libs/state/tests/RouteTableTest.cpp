#include "RouteTable.h"

#include "gtest/gtest.h"

#include <string>
#include <vector>

namespace knapweedloft::state {
namespace {

class RouteTableTest : public testing::Test {
protected:
  /// \returns the name of the route found, or "".
  std::string find(const std::string &Method, const std::string &Path) {
    std::vector<const model::Route *> Pointers;
    for (const model::Route &Each : m_Routes)
      Pointers.push_back(&Each);
    const model::Route *Found = RouteTable(Pointers).find(Method, Path);
    return Found == nullptr ? "" : Found->m_Name;
  }

  std::vector<model::Route> m_Routes{
      {.m_Name = "all-orders", .m_PathPrefix = "/orders"},
      {.m_Name = "new-order", .m_PathPrefix = "/orders", .m_Method = "POST"},
      {.m_Name = "proofs", .m_PathPrefix = "/orders/proofs/"},
      {.m_Name = "put-proof",
       .m_PathPrefix = "/orders/proofs/raw",
       .m_Method = "PUT"},
  };
};

TEST_F(RouteTableTest, Find_SegmentsBelowPrefix_Match) {
  EXPECT_EQ(find("GET", "/orders"), "all-orders");
  EXPECT_EQ(find("GET", "/orders/"), "all-orders");
  EXPECT_EQ(find("GET", "/orders/7/pages/3"), "all-orders");
  EXPECT_EQ(find("GET", "/orders?all=1"), "all-orders");
}

TEST_F(RouteTableTest, Find_PrefixEndsInsideASegment_DoesNotMatch) {
  EXPECT_EQ(find("GET", "/orders-old"), "");
  EXPECT_EQ(find("GET", "/order"), "");
  EXPECT_EQ(find("GET", "/"), "");
  EXPECT_EQ(find("GET", ""), "");
}

TEST_F(RouteTableTest, Find_LongerPrefix_GoesFirst) {
  EXPECT_EQ(find("GET", "/orders/proofs/7"), "proofs");
  EXPECT_EQ(find("POST", "/orders/proofs"), "proofs");
}

TEST_F(RouteTableTest, Find_MethodNamed_GoesBeforeAnyMethod) {
  EXPECT_EQ(find("POST", "/orders/7"), "new-order");
  EXPECT_EQ(find("PUT", "/orders/7"), "all-orders");
}

TEST_F(RouteTableTest, Find_LongestPrefixHasOtherMethod_FallsBack) {
  EXPECT_EQ(find("PUT", "/orders/proofs/raw/1"), "put-proof");
  EXPECT_EQ(find("GET", "/orders/proofs/raw/1"), "proofs");
}

TEST_F(RouteTableTest, Find_RootPrefix_MatchesEverything) {
  m_Routes.push_back({.m_Name = "root", .m_PathPrefix = "/"});
  EXPECT_EQ(find("GET", "/nowhere/at/all"), "root");
  EXPECT_EQ(find("GET", "/"), "root");
  EXPECT_EQ(find("GET", std::string(8000, '/')), "root");
}

} // namespace
} // namespace knapweedloft::state
