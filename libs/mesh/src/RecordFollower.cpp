#include "mesh/RecordFollower.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedloft::mesh {
namespace {

constexpr absl::Duration DefaultPollTimeout = absl::Seconds(5);

std::pair<std::uint64_t, std::uint64_t> positionOf(const StoredRecord &Record) {
  return {Record.m_Era, Record.m_Offset};
}

} // namespace

RecordFollower::RecordFollower(Options Settings)
    : m_Settings(std::move(Settings)) {}

void RecordFollower::start(absl::Time /*Now*/) { readAll(); }

void RecordFollower::restart() {
  ++m_Chain;
  readAll();
}

void RecordFollower::schedule(std::function<void()> Task,
                              absl::Duration After) {
  m_Settings.m_Schedule(
      [this, Chain = m_Chain, Task = std::move(Task)] {
        if (Chain == m_Chain)
          Task();
      },
      After);
}

void RecordFollower::readAll() {
  m_Settings.m_Port.m_ReadNewest(
      m_Settings.m_Topic,
      [this, Chain = m_Chain](const StoreReadResult &Read, absl::Time Now) {
        if (Chain == m_Chain)
          onReadAll(Read, Now);
      });
}

void RecordFollower::pollAfterPause() {
  if (!m_Settings.m_PollPause)
    return poll();
  schedule([this] { poll(); }, m_Settings.m_PollPause());
}

void RecordFollower::poll() {
  if (m_Settings.m_IsPollNeeded && !m_Settings.m_IsPollNeeded())
    return pollAfterPause();
  m_Settings.m_Port.m_ReadFrom(
      m_Settings.m_Topic, m_Next,
      m_Settings.m_PollTimeout ? m_Settings.m_PollTimeout()
                               : DefaultPollTimeout,
      [this, Chain = m_Chain](const StoreReadResult &Read, absl::Time Now) {
        if (Chain == m_Chain)
          onPolled(Read, Now);
      });
}

bool RecordFollower::noteEra(std::uint64_t Era, absl::Time Now) {
  if (!std::exchange(m_IsEraKnown, true)) {
    m_Era = Era;
    return true;
  }
  if (Era <= m_Era)
    return Era == m_Era;
  m_Era = Era;
  m_End = 0;
  m_HoldUntil = Now + m_Settings.m_HoldTime;
  // Keys that are still missing then have been deleted. A follower that reads
  // at intervals finds that out by itself.
  if (m_Settings.m_ReadAllInterval == absl::InfiniteDuration())
    m_Settings.m_Schedule(
        [this, Era] {
          if (Era == m_Era)
            restart();
        },
        m_Settings.m_HoldTime * (1 + m_Settings.m_Random() / 4));
  if (m_Settings.m_OnNewEra)
    m_Settings.m_OnNewEra(Era, Now);
  return true;
}

void RecordFollower::deleteMissing(const StoreReadResult &Read,
                                   absl::Time Now) {
  std::vector<StoredRecord> Missing;
  for (const auto &[Key, Known] : m_Records) {
    bool IsListed = std::any_of(
        Read.m_Records.begin(), Read.m_Records.end(),
        [&, Name = &Key](const auto &Listed) { return Listed.m_Key == *Name; });
    bool IsOfEra = Known.m_Era == Read.m_Era;
    // A record from a peer may be newer than the list.
    if (IsListed || Known.m_IsDeleted ||
        (IsOfEra ? Known.m_Offset >= Read.m_End : Now < m_HoldUntil))
      continue;
    std::uint64_t Last = Read.m_End == 0 ? 0 : Read.m_End - 1;
    Missing.push_back(
        {.m_Key = Key,
         .m_IsDeleted = true,
         .m_Era = Read.m_Era,
         .m_Offset = IsOfEra ? std::max(Known.m_Offset, Last) : Last});
  }
  for (const StoredRecord &Deleted : Missing)
    put(Deleted, Now);
}

void RecordFollower::onReadAll(const StoreReadResult &Read, absl::Time Now) {
  if (Read.m_Outcome != StoreOutcome::Done || !noteEra(Read.m_Era, Now))
    return onFailure(Now);
  deleteMissing(Read, Now);
  for (const StoredRecord &Record : Read.m_Records)
    put(Record, Now);
  m_ReadEra = Read.m_Era;
  m_Next = Read.m_End;
  m_End = std::max(m_End, m_Next);
  onSuccess(Now);
  if (!std::exchange(m_HasRead, true) && m_Settings.m_OnFirstRead)
    m_Settings.m_OnFirstRead(Now);
  scheduleNextRead();
}

void RecordFollower::scheduleNextRead() {
  if (m_Settings.m_ReadAllInterval == absl::InfiniteDuration())
    return poll();
  schedule([this] { readAll(); },
           m_Settings.m_ReadAllInterval * (0.5 + m_Settings.m_Random()));
}

void RecordFollower::onPolled(const StoreReadResult &Read, absl::Time Now) {
  if (Read.m_Outcome == StoreOutcome::Expired) {
    onSuccess(Now);
    return readAll();
  }
  if (Read.m_Outcome != StoreOutcome::Done)
    return onFailure(Now);
  // An answer of another era, or an end offset below what was read already:
  // the store came back from an earlier state.
  bool IsOtherEra = Read.m_Era != m_ReadEra;
  if (IsOtherEra || (Read.m_End < m_Next && Read.m_Records.empty())) {
    onSuccess(Now);
    schedule([this] { readAll(); }, Read.m_Era > m_ReadEra
                                        ? absl::ZeroDuration()
                                        : m_Settings.m_MinRetryDelay);
    return;
  }
  for (StoredRecord Record : Read.m_Records) {
    // The store had nothing beyond m_Next when all keys were read.
    Record.m_IsFresh = true;
    put(Record, Now);
    m_Next = std::max(m_Next, Record.m_Offset + 1);
  }
  if (Read.m_Era == m_Era)
    m_End = std::max(m_End, m_Next);
  onSuccess(Now);
  if (Read.m_Records.empty())
    poll();
  else
    pollAfterPause();
}

bool RecordFollower::isHeld(const StoredRecord &Known, const StoredRecord &Read,
                            absl::Time Now) const {
  if (Known.m_Era == Read.m_Era || Read.m_IsFresh || Now >= m_HoldUntil ||
      Read.m_Offset > Known.m_Offset)
    return false;
  bool IsSame = Read.m_Offset == Known.m_Offset &&
                Read.m_Value == Known.m_Value &&
                Read.m_IsDeleted == Known.m_IsDeleted;
  return !IsSame &&
         !(m_Settings.m_Supersedes && m_Settings.m_Supersedes(Known, Read));
}

void RecordFollower::put(const StoredRecord &Record, absl::Time Now) {
  auto Found = m_Records.find(Record.m_Key);
  if (Found != m_Records.end() &&
      (positionOf(Found->second) >= positionOf(Record) ||
       isHeld(Found->second, Record, Now)))
    return;
  m_Records[Record.m_Key] = Record;
  if (Record.m_Era == m_Era)
    m_End = std::max(m_End, Record.m_Offset + 1);
  m_Settings.m_OnRecord(Record, Now);
}

void RecordFollower::merge(const std::vector<StoredRecord> &Records,
                           std::uint64_t Era, std::uint64_t End,
                           absl::Time Now) {
  bool IsNewEra = m_IsEraKnown && Era > m_Era;
  noteEra(Era, Now);
  for (const StoredRecord &Record : Records)
    put(Record, Now);
  if (Era == m_Era)
    m_End = std::max(m_End, End);
  if (IsNewEra)
    restart();
}

std::vector<StoredRecord>
RecordFollower::recordsSince(std::uint64_t Era, std::uint64_t From) const {
  std::vector<StoredRecord> Result;
  for (const auto &[Key, Record] : m_Records)
    if (positionOf(Record) >= std::pair(Era, From))
      Result.push_back(Record);
  std::sort(Result.begin(), Result.end(),
            [](const auto &Left, const auto &Right) {
              return positionOf(Left) < positionOf(Right);
            });
  return Result;
}

void RecordFollower::onFailure(absl::Time Now) {
  m_Failures = std::min(m_Failures + 1, 16);
  if (m_IsAvailable || !m_IsAvailabilityReported) {
    m_IsAvailable = false;
    m_IsAvailabilityReported = true;
    m_Settings.m_OnAvailability(false, Now);
  }
  absl::Duration Pause =
      std::min(m_Settings.m_MinRetryDelay * std::exp2(m_Failures - 1),
               m_Settings.m_MaxRetryDelay);
  // Jitter: many daemons lose the store at once and must not all retry at once.
  Pause *= 0.5 + m_Settings.m_Random() / 2;
  schedule(
      [this] {
        bool IsPolling =
            m_Settings.m_ReadAllInterval == absl::InfiniteDuration();
        if (m_HasRead && IsPolling && m_ReadEra == m_Era)
          poll();
        else
          readAll();
      },
      Pause);
}

void RecordFollower::onSuccess(absl::Time Now) {
  m_Failures = 0;
  if (m_IsAvailable)
    return;
  m_IsAvailable = m_IsAvailabilityReported = true;
  m_Settings.m_OnAvailability(true, Now);
}

} // namespace knapweedloft::mesh
