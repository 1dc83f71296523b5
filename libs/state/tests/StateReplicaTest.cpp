#include "state/StateReplica.h"

#include "Records.h"

#include "gtest/gtest.h"

#include <string>
#include <vector>

namespace knapweedloft::state {
namespace {

class StateReplicaTest : public testing::Test {
protected:
  StateReplicaTest() {
    m_Replica.onAdvance(
        [this](model::LogOffset Offset) { m_Advances.push_back(Offset); });
  }

  std::vector<StoredRecord> customers(model::LogOffset First,
                                      std::size_t Count) {
    std::vector<StoredRecord> Records;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const std::string Name = "c" + std::to_string(First + Index);
      Records.push_back({First + Index, putCustomer(Name, Name)});
    }
    return Records;
  }

  StateReplica m_Replica{{.m_KeptRecords = 4, .m_KeptBytes = 1 << 20}};
  std::vector<model::LogOffset> m_Advances;
};

TEST_F(StateReplicaTest, ApplyRecord_NextOffset_PublishesAndTells) {
  EXPECT_EQ(m_Replica.applyRecord(0, putCustomer("id", "acme")),
            ApplyResult::Applied);
  SnapshotStore::ReadGuard State(m_Replica.store());
  EXPECT_NE(State->find(model::ResourceKind::Customer, "acme"), nullptr);
  EXPECT_EQ(m_Advances, std::vector<model::LogOffset>{1});
}

TEST_F(StateReplicaTest, ApplyRecord_RepeatedOffset_IsIgnored) {
  m_Replica.applyRecord(0, putCustomer("id", "acme"));
  EXPECT_EQ(m_Replica.applyRecord(0, putCustomer("other", "zeta")),
            ApplyResult::AlreadyApplied);
  EXPECT_EQ(
      m_Replica.store().share()->find(model::ResourceKind::Customer, "zeta"),
      nullptr);
}

TEST_F(StateReplicaTest, ApplyRecords_MissingRecord_StopsBeforeTheGap) {
  std::vector<StoredRecord> Records = customers(0, 4);
  Records.erase(Records.begin() + 2);
  EXPECT_EQ(m_Replica.applyRecords(Records), ApplyResult::Gap);
  EXPECT_EQ(m_Replica.offset(), 2U);
}

TEST_F(StateReplicaTest, ApplyRecords_Batch_PublishesOnce) {
  m_Replica.applyRecords(customers(0, 4));
  EXPECT_EQ(m_Advances, std::vector<model::LogOffset>{4});
}

TEST_F(StateReplicaTest, LoadImage_OlderThanState_IsIgnored) {
  m_Replica.applyRecords(customers(0, 2));
  const std::string Image = m_Replica.image();
  m_Replica.applyRecords(customers(2, 1));
  EXPECT_FALSE(m_Replica.loadImage(Image));
  EXPECT_EQ(m_Replica.offset(), 3U);
}

TEST_F(StateReplicaTest, LoadImage_FurtherThanState_GivesTheSameImage) {
  m_Replica.applyRecords(customers(0, 3));
  StateReplica Late;
  EXPECT_TRUE(Late.loadImage(m_Replica.image()));
  EXPECT_EQ(Late.offset(), 3U);
  EXPECT_EQ(Late.image(), m_Replica.image());
}

TEST_F(StateReplicaTest, LoadImage_Garbage_ThrowsAndKeepsState) {
  m_Replica.applyRecords(customers(0, 1));
  EXPECT_THROW(m_Replica.loadImage("no image"), StateError);
  EXPECT_EQ(m_Replica.offset(), 1U);
}

TEST_F(StateReplicaTest, RecordsFrom_KeptOffset_ReturnsThoseFromThere) {
  m_Replica.applyRecords(customers(0, 3));
  auto Records = m_Replica.recordsFrom(1, 10);
  ASSERT_TRUE(Records);
  ASSERT_EQ(Records->size(), 2U);
  EXPECT_EQ(Records->front().m_Offset, 1U);
}

TEST_F(StateReplicaTest, RecordsFrom_DroppedOffset_ReturnsNothing) {
  m_Replica.applyRecords(customers(0, 6));
  EXPECT_FALSE(m_Replica.recordsFrom(1, 10));
  EXPECT_TRUE(m_Replica.recordsFrom(2, 10));
}

TEST_F(StateReplicaTest, RecordsFrom_End_ReturnsAnEmptyList) {
  m_Replica.applyRecords(customers(0, 1));
  auto Records = m_Replica.recordsFrom(1, 10);
  ASSERT_TRUE(Records);
  EXPECT_TRUE(Records->empty());
}

TEST_F(StateReplicaTest, RecordsFrom_AfterImage_NeedsAnImage) {
  m_Replica.applyRecords(customers(0, 3));
  StateReplica Late;
  Late.loadImage(m_Replica.image());
  EXPECT_FALSE(Late.recordsFrom(1, 10));
}

TEST_F(StateReplicaTest, OutcomeOf_LoserOfARace_IsRevisionMismatch) {
  m_Replica.applyRecord(0, putCustomer("first", "acme", 0));
  m_Replica.applyRecord(1, putCustomer("second", "acme", 0));
  auto Settled = m_Replica.outcomeOf("second");
  ASSERT_TRUE(Settled);
  EXPECT_EQ(Settled->m_Outcome, ChangeOutcome::RevisionMismatch);
  EXPECT_EQ(Settled->m_Offset, 1U);
  EXPECT_FALSE(m_Replica.outcomeOf("third"));
}

} // namespace
} // namespace knapweedloft::state
