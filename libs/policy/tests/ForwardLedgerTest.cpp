#include "policy/ForwardLedger.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace knapweedloft::policy {
namespace {

using model::ForwardId;
using testing::ElementsAre;

constexpr model::Incarnation Entry = 11;

class ForwardLedgerTest : public testing::Test {
protected:
  absl::Time m_Now = absl::UnixEpoch();
  ForwardLedger m_Ledger{{.m_RetentionPeriod = absl::Seconds(60),
                          .m_MaxOutcomeBytes = 100,
                          .m_MaxEntries = 4}};

  void run(const ForwardId &Id, OutcomeId Outcome, std::size_t Bytes) {
    ASSERT_EQ(m_Ledger.begin(Id, m_Now), ForwardBeginResult::Fresh);
    m_Ledger.finish(Id, Outcome, Bytes, m_Now);
  }
};

TEST_F(ForwardLedgerTest, Begin_SecondCopy_IsNotFresh) {
  EXPECT_EQ(m_Ledger.begin({Entry, 1}, m_Now), ForwardBeginResult::Fresh);
  EXPECT_EQ(m_Ledger.begin({Entry, 1}, m_Now), ForwardBeginResult::Running);
  m_Ledger.finish({Entry, 1}, 5, 10, m_Now);
  EXPECT_EQ(m_Ledger.begin({Entry, 1}, m_Now), ForwardBeginResult::Finished);
  EXPECT_EQ(m_Ledger.outcomeOf({Entry, 1}), 5U);
}

TEST_F(ForwardLedgerTest, Query_NeverReceived_ClosesTheForward) {
  EXPECT_EQ(m_Ledger.query({Entry, 1}, m_Now), ForwardStatus::NotRun);
  EXPECT_EQ(m_Ledger.begin({Entry, 1}, m_Now), ForwardBeginResult::Closed);
  EXPECT_EQ(m_Ledger.query({Entry, 1}, m_Now), ForwardStatus::NotRun);
}

TEST_F(ForwardLedgerTest, Begin_RecordExpiredWhileCopyInTransit_StaysClosed) {
  ASSERT_EQ(m_Ledger.query({Entry, 1}, m_Now), ForwardStatus::NotRun);
  // The daemon was paused for an hour while the copy was in a socket buffer.
  m_Now += absl::Hours(1);
  EXPECT_EQ(m_Ledger.begin({Entry, 1}, m_Now), ForwardBeginResult::Closed);
  EXPECT_EQ(m_Ledger.begin({Entry, 2}, m_Now), ForwardBeginResult::Fresh);
}

TEST_F(ForwardLedgerTest, Query_RecordDropped_IsUnknownAndNeverNotRun) {
  run({Entry, 1}, 1, 1);
  m_Now += absl::Seconds(61);
  EXPECT_EQ(m_Ledger.query({Entry, 1}, m_Now), ForwardStatus::Unknown);
  EXPECT_EQ(m_Ledger.begin({Entry, 1}, m_Now), ForwardBeginResult::Closed);
  EXPECT_THAT(m_Ledger.takeEvicted(), ElementsAre(1));
}

TEST_F(ForwardLedgerTest, Query_Running_IsRunningHoweverLongItTakes) {
  ASSERT_EQ(m_Ledger.begin({Entry, 1}, m_Now), ForwardBeginResult::Fresh);
  m_Now += absl::Hours(1);
  EXPECT_EQ(m_Ledger.query({Entry, 1}, m_Now), ForwardStatus::Running);
}

TEST_F(ForwardLedgerTest, Finish_ByteLimitExceeded_EvictsOldestOutcomeOnly) {
  run({Entry, 1}, 1, 60);
  run({Entry, 2}, 2, 60);
  EXPECT_EQ(m_Ledger.query({Entry, 1}, m_Now), ForwardStatus::Finished);
  EXPECT_EQ(m_Ledger.outcomeOf({Entry, 1}), 0U);
  EXPECT_EQ(m_Ledger.outcomeOf({Entry, 2}), 2U);
  EXPECT_EQ(m_Ledger.outcomeBytes(), 60U);
}

TEST_F(ForwardLedgerTest, Finish_EntryLimitExceeded_StaysBounded) {
  for (std::uint64_t Sequence = 1; Sequence <= 100; ++Sequence)
    run({Entry, Sequence}, Sequence, 1);
  EXPECT_EQ(m_Ledger.entries(), 4U);
  EXPECT_EQ(m_Ledger.takeEvicted().size(), 96U);
  EXPECT_EQ(m_Ledger.begin({Entry, 50}, m_Now), ForwardBeginResult::Closed);
}

TEST_F(ForwardLedgerTest, Begin_OtherEntryDaemon_IsNotAffectedByDropping) {
  run({Entry, 9}, 1, 1);
  m_Now += absl::Seconds(61);
  EXPECT_EQ(m_Ledger.begin({Entry + 1, 1}, m_Now), ForwardBeginResult::Fresh);
}

} // namespace
} // namespace knapweedloft::policy
