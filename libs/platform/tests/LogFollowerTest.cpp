#include "platform/LogFollower.h"
#include "platform/ReplicaFeed.h"

#include "logservice/LogStore.h"
#include "state/RecordCodec.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "gtest/gtest.h"

#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::platform {
namespace {

constexpr char Stream[] = "config";

std::string putCustomer(const std::string &Name) {
  return state::encodeRecord({.m_Entry = state::ResourceChange{
                                  .m_ChangeId = "id-" + Name,
                                  .m_Kind = model::ResourceKind::Customer,
                                  .m_Name = Name,
                                  .m_Resource = model::Customer{
                                      .m_Name = Name, .m_DisplayName = ""}}});
}

/// A replica that follows a log in memory.
class LogFollowerTest : public testing::Test {
protected:
  void follow(std::size_t MaxRecords = 1024) {
    m_Follower = std::make_unique<LogFollower>(LogFollower::Options{
        .m_Log = m_Store.service(),
        .m_Stream = Stream,
        .m_Next = [this] { return m_Feed.next(); },
        .m_OnRead =
            [this](const LogRead &Read, const LogFreshness &Fresh) {
              m_Feed.take(Read);
              note([&] { m_Latest = Fresh; });
            },
        .m_OnAway =
            [this](const LogFreshness &Fresh) {
              note([&] {
                m_Latest = Fresh;
                ++m_AwayCount;
              });
            },
        .m_OnExpired =
            [this](const OffsetExpired &Expired) {
              m_Feed.expire(Expired);
              note([this] { ++m_ExpiredCount; });
            },
        .m_Now = [] { return absl::Now(); },
        .m_Random = [] { return 0.5; },
        .m_MaxRecords = MaxRecords,
        .m_Wait = absl::Milliseconds(20),
        .m_MinBackoff = absl::Milliseconds(1),
        .m_MaxBackoff = absl::Milliseconds(4)});
    m_Follower->start();
  }

  void note(const std::function<void()> &Change) {
    absl::MutexLock Lock(&m_Mutex);
    Change();
  }

  /// Waits until \p Condition holds after a call of a hook.
  void await(const std::function<bool()> &Condition) {
    absl::MutexLock Lock(&m_Mutex);
    m_Mutex.Await(absl::Condition(&Condition));
  }

  void awaitOffset(model::LogOffset Offset) {
    await([this, Offset] { return m_Replica.offset() >= Offset; });
  }

  void appendCustomers(int First, int Count) {
    for (int Index = First; Index < First + Count; ++Index)
      m_Store.append(Stream, putCustomer("c" + std::to_string(Index)));
  }

  /// Appends the image of a replica that has read everything so far.
  /// \returns its parts.
  std::vector<state::ImagePart> imageParts() {
    state::StateReplica Whole;
    const LogRead Read =
        m_Store.read(Stream, 0, SIZE_MAX, absl::ZeroDuration());
    for (const LogRecord &Each : Read.m_Records)
      Whole.applyRecord(Each.m_Offset, Each.m_Payload);
    return state::splitImage(Whole.offset(), Whole.image(), 64);
  }

  void appendPart(const state::ImagePart &Part) {
    m_Store.append(Stream, state::encodeRecord({.m_Entry = Part}));
  }

  bool hasCustomer(const std::string &Name) {
    return m_Replica.store().share()->find(model::ResourceKind::Customer,
                                           Name) != nullptr;
  }

  logservice::LogStore m_Store;
  state::StateReplica m_Replica;
  ReplicaFeed m_Feed{m_Replica};
  absl::Mutex m_Mutex;
  LogFreshness m_Latest;
  int m_AwayCount = 0;
  int m_ExpiredCount = 0;
  std::unique_ptr<LogFollower> m_Follower; ///< Ends before what it calls.
};

TEST_F(LogFollowerTest, Follow_RecordsBeforeAndAfterStart_AreApplied) {
  appendCustomers(0, 3);
  follow(2);
  awaitOffset(3);
  appendCustomers(3, 2);
  awaitOffset(5);
  EXPECT_TRUE(hasCustomer("c4"));
}

TEST_F(LogFollowerTest, Follow_LogAway_SaysSinceWhenAndGoesOn) {
  follow();
  await([this] { return m_Latest.m_ReadAt > absl::InfinitePast(); });
  m_Store.setFaults({.m_IsDown = true});
  await([this] { return m_AwayCount >= 3; });
  EXPECT_TRUE(m_Follower->freshness().m_UnavailableSince);
  m_Store.setFaults({});
  appendCustomers(0, 1);
  awaitOffset(1);
  EXPECT_FALSE(m_Follower->freshness().m_UnavailableSince);
}

TEST_F(LogFollowerTest, Follow_GarbageRecord_IsCountedAndPassed) {
  m_Store.setFaults({.m_GarbageRecords = 1});
  appendCustomers(0, 1);
  follow();
  awaitOffset(2);
  EXPECT_TRUE(hasCustomer("c0"));
  EXPECT_EQ(m_Replica.garbageCount(), 1U);
}

TEST_F(LogFollowerTest, Follow_FirstRecordsExpired_StartsFromImageInLog) {
  appendCustomers(0, 5);
  for (const state::ImagePart &Each : imageParts())
    appendPart(Each);
  appendCustomers(5, 1);
  m_Store.expireBefore(Stream, 5);
  const model::LogOffset End = m_Store.end(Stream);
  follow(3);
  awaitOffset(End);
  EXPECT_TRUE(hasCustomer("c0"));
  EXPECT_TRUE(hasCustomer("c5"));
  EXPECT_FALSE(m_Feed.isSearching());
}

TEST_F(LogFollowerTest, Follow_TornImage_WaitsForAWholeOne) {
  appendCustomers(0, 5);
  const std::vector<state::ImagePart> Parts = imageParts();
  ASSERT_GT(Parts.size(), 2U);
  for (std::size_t Index = 0; Index + 1 < Parts.size(); ++Index)
    appendPart(Parts[Index]);
  m_Store.expireBefore(Stream, 3);
  follow();
  await([this] { return m_ExpiredCount > 0 && m_Feed.partOffset() == 5; });
  EXPECT_TRUE(m_Feed.isSearching());
  EXPECT_EQ(m_Replica.offset(), 0U);
  // Another writer's copy of the same image completes it.
  for (const state::ImagePart &Each : Parts)
    appendPart(Each);
  awaitOffset(m_Store.end(Stream));
  EXPECT_TRUE(hasCustomer("c0"));
}

TEST_F(LogFollowerTest, Follow_ImageOlderThanFirstRecord_IsOfNoUse) {
  appendCustomers(0, 5);
  const std::vector<state::ImagePart> Parts = imageParts();
  appendCustomers(5, 2);
  for (const state::ImagePart &Each : Parts)
    appendPart(Each);
  m_Store.expireBefore(Stream, 6);
  follow();
  await([this] { return m_Feed.imageOffset() == 5; });
  EXPECT_TRUE(m_Feed.isSearching());
  EXPECT_EQ(m_Replica.offset(), 0U);
}

TEST_F(LogFollowerTest, Follow_ImageFromAPeer_EndsTheSearch) {
  appendCustomers(0, 5);
  state::StateReplica Peer;
  const LogRead Read = m_Store.read(Stream, 0, SIZE_MAX, absl::ZeroDuration());
  for (const LogRecord &Each : Read.m_Records)
    Peer.applyRecord(Each.m_Offset, Each.m_Payload);
  m_Store.expireBefore(Stream, 4);
  follow();
  await([this] { return m_ExpiredCount > 0; });
  m_Replica.loadImage(Peer.image());
  appendCustomers(5, 1);
  awaitOffset(6);
  EXPECT_TRUE(hasCustomer("c5"));
}

} // namespace
} // namespace knapweedloft::platform
