#include "state/SnapshotStore.h"

#include "Records.h"
#include "state/Fold.h"

#include "gtest/gtest.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace knapweedloft::state {
namespace {

class SnapshotStoreTest : public testing::Test {
protected:
  /// \returns a snapshot with one customer, named by its offset.
  SnapshotPtr next() {
    const model::LogOffset Offset = m_Fold.offset();
    const std::string Name = "c" + std::to_string(Offset);
    m_Fold.apply(Offset, putCustomer("id" + Name, Name));
    return m_Fold.snapshot();
  }

  Fold m_Fold;
  SnapshotStore m_Store;
};

TEST_F(SnapshotStoreTest, Publish_LowerOffset_IsIgnored) {
  const SnapshotPtr Old = next();
  EXPECT_TRUE(m_Store.publish(next()));
  EXPECT_FALSE(m_Store.publish(Old));
  EXPECT_EQ(m_Store.share()->offset(), 2U);
}

TEST_F(SnapshotStoreTest, Share_LaterPublish_KeepsTheFormerAlive) {
  m_Store.publish(next());
  const SnapshotPtr Held = m_Store.share();
  m_Store.publish(next());
  EXPECT_EQ(Held->offset(), 1U);
  EXPECT_EQ(Held->list(model::ResourceKind::Customer).size(), 1U);
}

TEST_F(SnapshotStoreTest, ReadGuard_WriterPublishes_SeesWholeAndNewerStates) {
  constexpr int Publishes = 300;
  std::atomic<bool> IsDone = false;
  std::atomic<int> Faults = 0;
  auto Read = [&] {
    model::LogOffset Last = 0;
    while (!IsDone) {
      SnapshotStore::ReadGuard State(m_Store);
      const model::LogOffset Offset = State->offset();
      const bool IsWhole =
          State->list(model::ResourceKind::Customer).size() == Offset;
      Faults += Offset >= Last && IsWhole ? 0 : 1;
      Last = Offset;
    }
  };
  constexpr int ReaderCount = 3;
  std::vector<std::thread> Readers;
  Readers.reserve(ReaderCount);
  for (int Count = 0; Count < ReaderCount; ++Count)
    Readers.emplace_back(Read);
  for (int Count = 0; Count < Publishes; ++Count)
    m_Store.publish(next());
  IsDone = true;
  for (std::thread &Each : Readers)
    Each.join();
  EXPECT_EQ(Faults, 0);
  EXPECT_EQ(m_Store.share()->offset(), Publishes);
}

} // namespace
} // namespace knapweedloft::state
