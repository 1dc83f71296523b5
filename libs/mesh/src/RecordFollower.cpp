#include "mesh/RecordFollower.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedloft::mesh {
namespace {

constexpr absl::Duration DefaultPollTimeout = absl::Seconds(5);

} // namespace

RecordFollower::RecordFollower(Options Settings)
    : m_Settings(std::move(Settings)) {}

void RecordFollower::start(absl::Time /*Now*/) { readAll(); }

void RecordFollower::readAll() {
  m_Settings.m_Port.m_ReadNewest(
      m_Settings.m_Topic, [this](const StoreReadResult &Read, absl::Time Now) {
        onReadAll(Read, Now);
      });
}

void RecordFollower::pollAfterPause() {
  if (!m_Settings.m_PollPause)
    return poll();
  m_Settings.m_Schedule([this] { poll(); }, m_Settings.m_PollPause());
}

void RecordFollower::poll() {
  if (m_Settings.m_IsPollNeeded && !m_Settings.m_IsPollNeeded())
    return pollAfterPause();
  m_Settings.m_Port.m_ReadFrom(m_Settings.m_Topic, m_Next,
                               m_Settings.m_PollTimeout
                                   ? m_Settings.m_PollTimeout()
                                   : DefaultPollTimeout,
                               [this](const StoreReadResult &Read,
                                      absl::Time Now) { onPolled(Read, Now); });
}

void RecordFollower::onReadAll(const StoreReadResult &Read, absl::Time Now) {
  if (Read.m_Outcome != StoreOutcome::Done)
    return onFailure(Now);
  std::vector<StoredRecord> Missing;
  for (const auto &[Key, Known] : m_Records) {
    bool IsListed = std::any_of(
        Read.m_Records.begin(), Read.m_Records.end(),
        [&, Name = &Key](const auto &Listed) { return Listed.m_Key == *Name; });
    // A record from a peer may be newer than the list.
    if (!IsListed && !Known.m_IsDeleted && Known.m_Offset < Read.m_End)
      Missing.push_back({.m_Key = Key,
                         .m_IsDeleted = true,
                         .m_Offset = std::max(Known.m_Offset, Read.m_End - 1)});
  }
  for (const StoredRecord &Deleted : Missing)
    put(Deleted, Now);
  for (const StoredRecord &Record : Read.m_Records)
    put(Record, Now);
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
  m_Settings.m_Schedule([this] { readAll(); },
                        m_Settings.m_ReadAllInterval *
                            (0.5 + m_Settings.m_Random()));
}

void RecordFollower::onPolled(const StoreReadResult &Read, absl::Time Now) {
  if (Read.m_Outcome == StoreOutcome::Expired) {
    onSuccess(Now);
    return readAll();
  }
  if (Read.m_Outcome != StoreOutcome::Done)
    return onFailure(Now);
  // An end offset below what was read already: the store was reset to an
  // earlier state, or a different store answered.
  if (Read.m_End < m_Next && Read.m_Records.empty()) {
    onSuccess(Now);
    m_Settings.m_Schedule([this] { readAll(); }, m_Settings.m_MinRetryDelay);
    return;
  }
  for (const StoredRecord &Record : Read.m_Records) {
    put(Record, Now);
    m_Next = std::max(m_Next, Record.m_Offset + 1);
  }
  m_End = std::max(m_End, m_Next);
  onSuccess(Now);
  if (Read.m_Records.empty())
    poll();
  else
    pollAfterPause();
}

void RecordFollower::put(const StoredRecord &Record, absl::Time Now) {
  auto Found = m_Records.find(Record.m_Key);
  if (Found != m_Records.end() && Found->second.m_Offset >= Record.m_Offset)
    return;
  m_Records[Record.m_Key] = Record;
  m_End = std::max(m_End, Record.m_Offset + 1);
  m_Settings.m_OnRecord(Record, Now);
}

void RecordFollower::merge(const std::vector<StoredRecord> &Records,
                           absl::Time Now) {
  for (const StoredRecord &Record : Records)
    put(Record, Now);
}

std::vector<StoredRecord>
RecordFollower::recordsSince(std::uint64_t From) const {
  std::vector<StoredRecord> Result;
  for (const auto &[Key, Record] : m_Records)
    if (Record.m_Offset >= From)
      Result.push_back(Record);
  std::sort(Result.begin(), Result.end(),
            [](const auto &Left, const auto &Right) {
              return Left.m_Offset < Right.m_Offset;
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
  m_Settings.m_Schedule(
      [this] {
        bool IsPolling =
            m_Settings.m_ReadAllInterval == absl::InfiniteDuration();
        if (m_HasRead && IsPolling)
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
