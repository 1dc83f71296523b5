#include "mesh/CallObserver.h"

#include "gtest/gtest.h"

namespace knapweedloft::mesh {
namespace {

class CallObserverTest : public ::testing::Test {
protected:
  void call(const std::string &From, const std::string &To, int Times) {
    for (int Index = 0; Index < Times; ++Index)
      m_Observer.onCall(From, To);
  }

  CallObserver m_Observer{{.m_MinCalls = 3, .m_MinCallShare = 0.1}};
};

TEST_F(CallObserverTest, Update_TooFewCalls_ReportsNoEdge) {
  call("orders", "stock", 2);
  EXPECT_FALSE(m_Observer.update());
  EXPECT_TRUE(m_Observer.edges().empty());
}

TEST_F(CallObserverTest, Update_EnoughCalls_ReportsTheEdgeOnce) {
  call("orders", "stock", 3);
  EXPECT_TRUE(m_Observer.update());
  EXPECT_EQ(m_Observer.edges(), (std::vector<CallEdge>{{"orders", "stock"}}));
  call("orders", "stock", 3);
  EXPECT_FALSE(m_Observer.update());
}

TEST_F(CallObserverTest, Update_FewWronglyAttributedCalls_AreIgnored) {
  call("orders", "stock", 97);
  call("reads", "stock", 3);
  m_Observer.update();
  EXPECT_EQ(m_Observer.edges(), (std::vector<CallEdge>{{"orders", "stock"}}));
}

} // namespace
} // namespace knapweedloft::mesh
