#include "ledger/Verdict.h"

#include "gtest/gtest.h"

namespace knapweedloft::ledger {
namespace {

class VerdictTest : public testing::Test {
protected:
  Verdict joinOne(CallKind Kind, std::vector<CallEnd> Ends,
                  std::uint32_t Starts) {
    TargetBook Books;
    if (Starts > 0)
      Books.m_Starts["a"] = Starts;
    return join({{"a", Kind, std::move(Ends)}}, Books);
  }
};

TEST_F(VerdictTest, Join_StartedTwice_IsDoubledUnlessIdempotent) {
  EXPECT_EQ(joinOne(CallKind::Plain, {CallEnd::Whole}, 2).m_Doubled, 1U);
  EXPECT_EQ(joinOne(CallKind::Keyed, {CallEnd::Whole}, 2).m_Doubled, 1U);
  EXPECT_TRUE(joinOne(CallKind::Idempotent, {CallEnd::Whole}, 2).holds());
}

TEST_F(VerdictTest, Join_AnsweredWithoutStart_IsFound) {
  EXPECT_EQ(joinOne(CallKind::Plain, {CallEnd::Whole}, 0).m_AnsweredUnrun, 1U);
}

TEST_F(VerdictTest, Join_SaidNotRunButStarted_IsFound) {
  EXPECT_EQ(joinOne(CallKind::Plain, {CallEnd::NotRun}, 1).m_FalseNotRun, 1U);
  EXPECT_EQ(joinOne(CallKind::Keyed, {CallEnd::NotSent, CallEnd::NotRun}, 1)
                .m_FalseNotRun,
            1U);
  // An earlier sending without an answer may be the one that ran.
  EXPECT_TRUE(
      joinOne(CallKind::Keyed, {CallEnd::None, CallEnd::NotRun}, 1).holds());
}

TEST_F(VerdictTest, Join_WrongAnswerOrKeySeen_DoesNotHold) {
  EXPECT_EQ(joinOne(CallKind::Plain, {CallEnd::Wrong}, 1).m_Wrong, 1U);
  TargetBook Books;
  Books.m_KeysSeen = 1;
  EXPECT_FALSE(join({}, Books).holds());
}

} // namespace
} // namespace knapweedloft::ledger
