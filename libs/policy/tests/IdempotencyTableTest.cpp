#include "policy/IdempotencyTable.h"

#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

constexpr std::uint64_t Body = 5;

class IdempotencyTableTest : public testing::Test {
protected:
  absl::Time m_Now = absl::UnixEpoch();
  IdempotencyTable m_Table{{.m_RetentionPeriod = absl::Minutes(10),
                            .m_MaxAnswerBytes = 100,
                            .m_MaxEntries = 3}};
};

TEST_F(IdempotencyTableTest, Claim_Copies_OneRunsOthersWaitThenReplay) {
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Fresh);
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Wait);
  m_Table.finish("a", 7, 10, m_Now);
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Replay);
  EXPECT_EQ(m_Table.find("a")->m_Answer, 7U);
}

TEST_F(IdempotencyTableTest, Claim_OtherBody_IsMismatch) {
  (void)m_Table.claim("a", Body, m_Now);
  EXPECT_EQ(m_Table.claim("a", Body + 1, m_Now), DedupeClaim::Mismatch);
}

TEST_F(IdempotencyTableTest, Claim_OutcomeLost_IsUnknownForTheRetentionPeriod) {
  (void)m_Table.claim("a", Body, m_Now);
  m_Table.markUnknown("a", m_Now);
  EXPECT_EQ(m_Table.claim("a", Body, m_Now + absl::Minutes(9)),
            DedupeClaim::Unknown);
  EXPECT_EQ(m_Table.claim("a", Body, m_Now + absl::Minutes(11)),
            DedupeClaim::Fresh);
}

TEST_F(IdempotencyTableTest, Claim_Released_RunsAgain) {
  (void)m_Table.claim("a", Body, m_Now);
  m_Table.release("a");
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Fresh);
}

TEST_F(IdempotencyTableTest, Claim_TableFull_RefusesAndDropsNothing) {
  for (const char *Name : {"a", "b", "c"})
    ASSERT_EQ(m_Table.claim(Name, Body, m_Now), DedupeClaim::Fresh);
  EXPECT_EQ(m_Table.claim("d", Body, m_Now), DedupeClaim::Full);
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Wait);
}

TEST_F(IdempotencyTableTest, Finish_TooManyBytes_OldestBecomesUnknown) {
  for (const char *Name : {"a", "b"}) {
    (void)m_Table.claim(Name, Body, m_Now);
    m_Table.finish(Name, Name[0], 60, m_Now);
  }
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Unknown);
  EXPECT_EQ(m_Table.claim("b", Body, m_Now), DedupeClaim::Replay);
}

TEST_F(IdempotencyTableTest, Adopt_StartOnOtherDaemon_IsUnknownUntilItsEnd) {
  EXPECT_TRUE(m_Table.adopt("a", Body, DedupeState::Running, 0, 0, m_Now));
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Unknown);
  EXPECT_TRUE(m_Table.adopt("a", Body, DedupeState::Finished, 3, 9, m_Now));
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Replay);
}

TEST_F(IdempotencyTableTest, Adopt_StartOfKnownKey_IsIgnored) {
  (void)m_Table.claim("a", Body, m_Now);
  EXPECT_FALSE(m_Table.adopt("a", Body, DedupeState::Running, 0, 0, m_Now));
  EXPECT_EQ(m_Table.claim("a", Body, m_Now), DedupeClaim::Wait);
}

} // namespace
} // namespace knapweedloft::policy
