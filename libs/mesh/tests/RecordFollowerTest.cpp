#include "mesh/RecordFollower.h"

#include "gtest/gtest.h"

#include <deque>
#include <string>
#include <vector>

namespace knapweedloft::mesh {
namespace {

/// A follower whose answers from the store the test supplies.
class RecordFollowerTest : public testing::Test {
protected:
  struct Call {
    bool m_IsAll = false;
    std::uint64_t m_From = 0;
    StorePort::OnRead m_OnRead;
  };

  RecordFollowerTest() : m_Follower(options()) { m_Follower.start(m_Now); }

  RecordFollower::Options options() {
    RecordFollower::Options Options;
    Options.m_Topic = "operator";
    Options.m_Port.m_ReadNewest = [this](const std::string &,
                                         StorePort::OnRead OnRead) {
      m_Calls.push_back({.m_IsAll = true, .m_OnRead = std::move(OnRead)});
    };
    Options.m_Port.m_ReadFrom = [this](const std::string &, std::uint64_t From,
                                       absl::Duration,
                                       StorePort::OnRead OnRead) {
      m_Calls.push_back({.m_From = From, .m_OnRead = std::move(OnRead)});
    };
    Options.m_Schedule = [this](std::function<void()> Task, absl::Duration) {
      m_Tasks.push_back(std::move(Task));
    };
    Options.m_Random = [] { return 0.5; };
    Options.m_OnRecord = [this](const StoredRecord &Record, absl::Time) {
      m_Seen.push_back(Record.m_Key + "=" +
                       (Record.m_IsDeleted ? "gone" : Record.m_Value));
    };
    Options.m_OnAvailability = [this](bool IsAvailable, absl::Time) {
      m_Availability.push_back(IsAvailable);
    };
    return Options;
  }

  void answer(StoreReadResult Read) {
    Call Next = std::move(m_Calls.front());
    m_Calls.pop_front();
    Next.m_OnRead(std::move(Read), m_Now);
  }

  static StoreReadResult done(std::vector<StoredRecord> Records,
                              std::uint64_t End) {
    return {.m_Outcome = StoreOutcome::Done,
            .m_Records = std::move(Records),
            .m_End = End};
  }

  static StoredRecord record(const std::string &Key, const std::string &Value,
                             std::uint64_t Offset) {
    return {.m_Key = Key,
            .m_Value = Value,
            .m_IsDeleted = Value.empty(),
            .m_Offset = Offset};
  }

  /// The same in another era of the store.
  static StoreReadResult inEra(std::uint64_t Era, StoreReadResult Read) {
    Read.m_Era = Era;
    for (StoredRecord &Record : Read.m_Records)
      Record.m_Era = Era;
    return Read;
  }

  /// Configuration v7 at offset 9, data center x withdrawn at 8; the store then
  /// comes back in the second era from a copy with \p Copied.
  void restore(std::vector<StoredRecord> Copied, std::uint64_t End) {
    answer(inEra(
        1, done({record("config", "v7", 9), record("x", "away", 8)}, 10)));
    answer(inEra(2, {.m_Outcome = StoreOutcome::Expired}));
    ASSERT_TRUE(m_Calls.front().m_IsAll);
    answer(inEra(2, done(std::move(Copied), End)));
    m_Seen.clear();
  }

  void runTasks() {
    auto Tasks = std::move(m_Tasks);
    m_Tasks.clear();
    for (auto &Task : Tasks)
      Task();
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  std::deque<Call> m_Calls;
  std::vector<std::function<void()>> m_Tasks;
  std::vector<std::string> m_Seen;
  std::vector<bool> m_Availability;
  RecordFollower m_Follower;
};

using Seen = std::vector<std::string>;

TEST_F(RecordFollowerTest, Start_ReadsAllThenPollsFromEnd) {
  answer(done({record("config", "v1", 4)}, 6));
  ASSERT_EQ(m_Calls.size(), 1U);
  EXPECT_EQ(m_Calls.front().m_From, 6U);
  answer(done({record("config", "v2", 6)}, 7));
  EXPECT_EQ(m_Seen, (Seen{"config=v1", "config=v2"}));
  EXPECT_EQ(m_Calls.front().m_From, 7U);
}

// Guards against a read by every daemon for every record of a burst.
TEST_F(RecordFollowerTest, Poll_RecordsWithPause_NextPollComesAfterPause) {
  RecordFollower::Options Options = options();
  Options.m_PollPause = [] { return absl::Seconds(1); };
  RecordFollower Paused(Options);
  m_Calls.clear();
  Paused.start(m_Now);
  answer(done({}, 0));
  ASSERT_EQ(m_Calls.size(), 1U);
  answer(done({record("a", "1", 0)}, 1));
  EXPECT_TRUE(m_Calls.empty());
  runTasks();
  ASSERT_EQ(m_Calls.size(), 1U);
  // The records of the pause come together.
  answer(done({record("b", "2", 1), record("c", "3", 2)}, 3));
  EXPECT_EQ(m_Seen, (Seen{"a=1", "b=2", "c=3"}));
}

TEST_F(RecordFollowerTest, Poll_NotNeeded_MakesNoCallUntilItIs) {
  bool IsNeeded = false;
  RecordFollower::Options Options = options();
  Options.m_PollPause = [] { return absl::Seconds(1); };
  Options.m_IsPollNeeded = [&IsNeeded] { return IsNeeded; };
  RecordFollower Idle(Options);
  m_Calls.clear();
  Idle.start(m_Now);
  answer(done({}, 7));
  runTasks();
  EXPECT_TRUE(m_Calls.empty());
  IsNeeded = true;
  runTasks();
  ASSERT_EQ(m_Calls.size(), 1U);
  EXPECT_EQ(m_Calls.front().m_From, 7U);
}

TEST_F(RecordFollowerTest, Poll_HistoryExpired_ReadsAllAndReportsDeletedKeys) {
  answer(done({record("config", "v1", 1), record("zone", "x", 2)}, 3));
  answer({.m_Outcome = StoreOutcome::Expired});
  ASSERT_TRUE(m_Calls.front().m_IsAll);
  answer(done({record("config", "v3", 8)}, 9));
  EXPECT_EQ(m_Seen, (Seen{"config=v1", "zone=x", "zone=gone", "config=v3"}));
}

TEST_F(RecordFollowerTest, ReadAll_StaleList_KeepsNewerRecords) {
  answer(done({record("config", "v5", 10)}, 11));
  answer({.m_Outcome = StoreOutcome::Expired});
  answer(done({record("config", "v4", 7)}, 8));
  EXPECT_EQ(m_Seen, (Seen{"config=v5"}));
}

TEST_F(RecordFollowerTest, Poll_NoAnswer_ReportsUnavailableOnceAndRetries) {
  answer(done({}, 0));
  answer({.m_Outcome = StoreOutcome::Unknown});
  runTasks();
  answer({.m_Outcome = StoreOutcome::Refused});
  runTasks();
  answer(done({record("config", "v1", 0)}, 1));
  EXPECT_EQ(m_Availability, (std::vector<bool>{true, false, true}));
  EXPECT_EQ(m_Seen, (Seen{"config=v1"}));
}

TEST_F(RecordFollowerTest, Merge_StoreUnavailable_TakesRecordsFromPeer) {
  answer({.m_Outcome = StoreOutcome::Unknown});
  m_Follower.merge({record("config", "v1", 4)}, 0, 5, m_Now);
  EXPECT_EQ(m_Seen, (Seen{"config=v1"}));
  EXPECT_EQ(m_Follower.endOffset(), 5U);
  // The store's own list arrives later and is older.
  runTasks();
  answer(done({record("config", "v0", 2)}, 3));
  EXPECT_EQ(m_Seen, (Seen{"config=v1"}));
}

TEST_F(RecordFollowerTest, RecordsSince_ReturnsRecordsFromOffsetOldestFirst) {
  answer(done({record("b", "2", 5), record("a", "1", 9), record("c", "0", 1)},
              10));
  std::vector<StoredRecord> Newer = m_Follower.recordsSince(0, 5);
  ASSERT_EQ(Newer.size(), 2U);
  EXPECT_EQ(Newer[0].m_Key, "b");
  EXPECT_EQ(Newer[1].m_Key, "a");
}

// Guards against offsets that are compared without their era.
TEST_F(RecordFollowerTest, NewEra_WrittenAgainUnderLowerOffset_IsTaken) {
  restore({record("config", "v3", 4)}, 5);
  EXPECT_EQ(m_Calls.front().m_From, 5U);
  answer(inEra(2, done({record("config", "v8", 5)}, 6)));
  EXPECT_EQ(m_Seen, (Seen{"config=v8"}));
  EXPECT_EQ(m_Follower.era(), 2U);
  EXPECT_EQ(m_Follower.endOffset(), 6U);
}

TEST_F(RecordFollowerTest, NewEra_OlderCopy_TakesNothingBack) {
  restore({record("config", "v3", 4)}, 5);
  EXPECT_EQ(m_Follower.records().at("config").m_Value, "v7");
  EXPECT_FALSE(m_Follower.records().at("x").m_IsDeleted);
}

TEST_F(RecordFollowerTest, NewEra_HoldEnds_StateIsThatOfTheStore) {
  restore({record("config", "v3", 4)}, 5);
  m_Now += absl::Seconds(11);
  runTasks();
  m_Calls.pop_front(); // The poll from before.
  ASSERT_TRUE(m_Calls.front().m_IsAll);
  answer(inEra(2, done({record("config", "v3", 4)}, 5)));
  EXPECT_EQ(m_Seen, (Seen{"x=gone", "config=v3"}));
}

TEST_F(RecordFollowerTest, NewEra_ReadAfterOperatorWrote_TakesNewerValue) {
  RecordFollower::Options Options = options();
  Options.m_Supersedes = [](const StoredRecord &Known,
                            const StoredRecord &Read) {
    return Read.m_Value > Known.m_Value;
  };
  m_Follower = RecordFollower(Options);
  m_Calls.clear();
  m_Follower.start(m_Now);
  restore({record("config", "v8", 5)}, 6);
  EXPECT_EQ(m_Follower.records().at("config").m_Value, "v8");
}

TEST_F(RecordFollowerTest, NewEra_PollOfSameOffsets_ReadsAllAnew) {
  answer(inEra(1, done({record("config", "v7", 9)}, 10)));
  // The new era has got beyond the next offset already.
  answer(inEra(2, done({record("other", "o", 10)}, 11)));
  runTasks();
  ASSERT_FALSE(m_Calls.empty());
  EXPECT_TRUE(m_Calls.back().m_IsAll);
  EXPECT_EQ(m_Seen, (Seen{"config=v7"}));
}

TEST_F(RecordFollowerTest, NewEraTwice_LateAnswerOfFormerOne_IsNotTaken) {
  restore({record("config", "v3", 4)}, 5);
  answer(inEra(3, {.m_Outcome = StoreOutcome::Expired}));
  answer(inEra(3, done({record("config", "v3", 4)}, 5)));
  answer(inEra(2, done({record("config", "v6", 5)}, 6)));
  EXPECT_EQ(m_Follower.records().at("config").m_Value, "v7");
  EXPECT_EQ(m_Follower.era(), 3U);
}

TEST_F(RecordFollowerTest, Merge_PeerOfOlderEra_TakesNothingBack) {
  restore({record("config", "v3", 4)}, 5);
  answer(inEra(2, done({record("config", "v8", 5)}, 6)));
  m_Follower.merge(
      {{.m_Key = "config", .m_Value = "v7", .m_Era = 1, .m_Offset = 9}}, 1, 10,
      m_Now);
  EXPECT_EQ(m_Follower.records().at("config").m_Value, "v8");
}

TEST_F(RecordFollowerTest, Merge_PeerOfNewerEra_TakesWhatWasWrittenInIt) {
  answer(
      inEra(1, done({record("config", "v7", 9), record("x", "away", 8)}, 10)));
  m_Follower.merge(
      {{.m_Key = "config", .m_Value = "v3", .m_Era = 2, .m_Offset = 4},
       {.m_Key = "x",
        .m_Value = "away again",
        .m_Era = 2,
        .m_Offset = 5,
        .m_IsFresh = true}},
      2, 6, m_Now);
  EXPECT_EQ(m_Follower.records().at("config").m_Value, "v7");
  EXPECT_EQ(m_Follower.records().at("x").m_Value, "away again");
  EXPECT_EQ(m_Follower.endOffset(), 6U);
  // Its own view of the store is read anew, too.
  EXPECT_TRUE(m_Calls.back().m_IsAll);
}

TEST_F(RecordFollowerTest, RecordsSince_AskerOfOlderEra_GetsAllOfTheNewOne) {
  restore({record("config", "v3", 4)}, 5);
  answer(inEra(2, done({record("config", "v8", 5)}, 6)));
  std::vector<StoredRecord> Newer = m_Follower.recordsSince(1, 10);
  ASSERT_EQ(Newer.size(), 1U);
  EXPECT_EQ(Newer[0].m_Value, "v8");
}

} // namespace
} // namespace knapweedloft::mesh
