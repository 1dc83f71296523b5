#include "soak/PromiseChecker.h"

#include "harness/CheckedAnswer.h"

#include "gtest/gtest.h"

#include <string>
#include <vector>

namespace knapweedloft::soak {
namespace {

class PromiseCheckerTest : public ::testing::Test {
protected:
  void send(const std::string &Id, bool MayRepeat,
            const std::string &Customer = "acme") {
    m_Checker.onSent({.m_CallId = Id,
                      .m_Customer = Customer,
                      .m_MayRepeat = MayRepeat,
                      .m_AnswerBytes = 100},
                     m_Now);
  }

  void answer(const std::string &Id, int Status, const std::string &Body = "") {
    m_Checker.onAnswer(Id, {.m_Status = Status, .m_Body = Body}, m_Now);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  std::vector<std::string> m_Lines;
  PromiseChecker m_Checker{
      [this](const std::string &Line) { m_Lines.push_back(Line); }};
};

TEST_F(PromiseCheckerTest, OnAnswer_WholeAnswerAfterARun_IsFine) {
  send("a", false);
  m_Checker.onRun("a", "t", m_Now);
  answer("a", 200, harness::checkedAnswer("a", 100));
  EXPECT_TRUE(m_Lines.empty());
  EXPECT_EQ(m_Checker.succeeded(), 1U);
}

// Guards against a request that a proxy held being taken for one that was sent
// late.
TEST_F(PromiseCheckerTest, PassedOnAt_HeldRequest_IsWhenItWasSent) {
  absl::Time Arrived = m_Now + absl::Seconds(3);
  send("a", true);
  EXPECT_EQ(m_Checker.passedOnAt("a", "vm1", Arrived), Arrived);
  m_Checker.onPassedOn("a", "vm1", m_Now);
  EXPECT_EQ(m_Checker.passedOnAt("a", "vm1", Arrived), m_Now);
  m_Checker.onPassedOn("a", "vm1", m_Now + absl::Seconds(2));
  EXPECT_EQ(m_Checker.passedOnAt("a", "vm1", Arrived),
            m_Now + absl::Seconds(2));
}

// Guards against a held request that counts by its retry at another target.
TEST_F(PromiseCheckerTest, PassedOnAt_RetriedElsewhere_KeepsItsOwnTime) {
  send("a", true);
  m_Checker.onPassedOn("a", "vm1", m_Now);
  m_Checker.onPassedOn("a", "vm2", m_Now + absl::Seconds(2));
  EXPECT_EQ(m_Checker.passedOnAt("a", "vm1", m_Now + absl::Seconds(3)), m_Now);
}

TEST_F(PromiseCheckerTest, OnRun_Twice_IsABreachUnlessItMayRepeat) {
  send("a", true);
  send("b", false);
  for (const char *Id : {"a", "a", "b"})
    m_Checker.onRun(Id, "t", m_Now);
  EXPECT_TRUE(m_Lines.empty());
  m_Checker.onRun("b", "t", m_Now);
  EXPECT_EQ(m_Lines.size(), 1U);
}

TEST_F(PromiseCheckerTest, OnAnswer_PromiseBeforeOrAfterARun_IsABreach) {
  send("a", false);
  m_Checker.onRun("a", "t", m_Now);
  answer("a", 503);
  EXPECT_EQ(m_Lines.size(), 1U);
  send("b", true);
  answer("b", 429);
  m_Checker.onRun("b", "t", m_Now);
  EXPECT_EQ(m_Lines.size(), 2U);
}

TEST_F(PromiseCheckerTest, OnAnswer_CutOrOfAnother_IsABreach) {
  for (const char *Id : {"a", "b"}) {
    send(Id, true);
    m_Checker.onRun(Id, "t", m_Now);
  }
  answer("a", 200, harness::checkedAnswer("a", 100).substr(0, 50));
  answer("b", 200, harness::checkedAnswer("a", 100));
  EXPECT_EQ(m_Lines.size(), 2U);
}

TEST_F(PromiseCheckerTest, OnCrash_FourthLateRun_IsABreach) {
  for (int Count = 0; Count < 8; ++Count) {
    std::string Id = std::to_string(Count);
    m_Checker.onSent({.m_CallId = Id, .m_IsInTouch = true}, m_Now);
    m_Checker.onCrash("poison", Id, m_Now);
    m_Now += absl::Seconds(4);
    EXPECT_EQ(m_Lines.size(), Count < 6 ? 0U : Count - 5U);
  }
}

TEST_F(PromiseCheckerTest, OnRun_NobodySentIt_IsABreach) {
  m_Checker.onRun("x", "t", m_Now);
  EXPECT_EQ(m_Lines.size(), 1U);
}

TEST_F(PromiseCheckerTest, OnRun_BeyondTheRate_IsABreach) {
  m_Checker.setRate("small", {.m_PerSecond = 20, .m_Burst = 20});
  for (int Index = 0; Index < 152; ++Index) {
    send(std::to_string(Index), true, "small");
    m_Checker.onRun(std::to_string(Index), "t", m_Now);
  }
  EXPECT_TRUE(m_Lines.empty());
  send("more", true, "small");
  m_Checker.onRun("more", "t", m_Now);
  EXPECT_EQ(m_Lines.size(), 1U);
}

} // namespace
} // namespace knapweedloft::soak
