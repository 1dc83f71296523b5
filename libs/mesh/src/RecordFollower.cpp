#include "mesh/RecordFollower.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedloft::mesh {
namespace {

constexpr absl::Duration DefaultWait = absl::Seconds(5);

} // namespace

RecordFollower::RecordFollower(Options Settings)
    : m_Settings(std::move(Settings)) {}

void RecordFollower::start(absl::Time /*Now*/) { readAll(); }

void RecordFollower::readAll() {
  m_Settings.m_Port.m_ReadNewest(
      m_Settings.m_Topic,
      [this](const StoreRead &Read, absl::Time Now) { onAll(Read, Now); });
}

void RecordFollower::poll() {
  m_Settings.m_Port.m_ReadFrom(
      m_Settings.m_Topic, m_Next,
      m_Settings.m_Wait ? m_Settings.m_Wait() : DefaultWait,
      [this](const StoreRead &Read, absl::Time Now) { onNew(Read, Now); });
}

void RecordFollower::onAll(const StoreRead &Read, absl::Time Now) {
  if (Read.m_Outcome != StoreOutcome::Done)
    return onFailure(Now);
  std::vector<StoredRecord> Missing;
  for (const auto &[Key, Held] : m_Records) {
    bool IsListed = std::any_of(
        Read.m_Records.begin(), Read.m_Records.end(),
        [&, Name = &Key](const auto &One) { return One.m_Key == *Name; });
    // What a peer told may be newer than what was read.
    if (!IsListed && !Held.m_IsDeleted && Held.m_Offset < Read.m_End)
      Missing.push_back({.m_Key = Key,
                         .m_IsDeleted = true,
                         .m_Offset = std::max(Held.m_Offset, Read.m_End - 1)});
  }
  for (const StoredRecord &Gone : Missing)
    put(Gone, Now);
  for (const StoredRecord &Record : Read.m_Records)
    put(Record, Now);
  m_Next = Read.m_End;
  m_End = std::max(m_End, m_Next);
  onAnswer(Now);
  if (!std::exchange(m_HasRead, true) && m_Settings.m_OnFirstRead)
    m_Settings.m_OnFirstRead(Now);
  goOn();
}

void RecordFollower::goOn() {
  if (m_Settings.m_ReadAllEvery == absl::InfiniteDuration())
    return poll();
  m_Settings.m_Later([this] { readAll(); },
                     m_Settings.m_ReadAllEvery * (0.5 + m_Settings.m_Random()));
}

void RecordFollower::onNew(const StoreRead &Read, absl::Time Now) {
  if (Read.m_Outcome == StoreOutcome::Expired) {
    onAnswer(Now);
    return readAll();
  }
  if (Read.m_Outcome != StoreOutcome::Done)
    return onFailure(Now);
  // An end before what was read: the store was set back, or another answers.
  if (Read.m_End < m_Next && Read.m_Records.empty()) {
    onAnswer(Now);
    m_Settings.m_Later([this] { readAll(); }, m_Settings.m_LeastPause);
    return;
  }
  for (const StoredRecord &Record : Read.m_Records) {
    put(Record, Now);
    m_Next = std::max(m_Next, Record.m_Offset + 1);
  }
  m_End = std::max(m_End, m_Next);
  onAnswer(Now);
  poll();
}

void RecordFollower::put(const StoredRecord &Record, absl::Time Now) {
  auto Found = m_Records.find(Record.m_Key);
  if (Found != m_Records.end() && Found->second.m_Offset >= Record.m_Offset)
    return;
  m_Records[Record.m_Key] = Record;
  m_End = std::max(m_End, Record.m_Offset + 1);
  m_Settings.m_OnRecord(Record, Now);
}

void RecordFollower::take(const std::vector<StoredRecord> &Records,
                          absl::Time Now) {
  for (const StoredRecord &Record : Records)
    put(Record, Now);
}

std::vector<StoredRecord> RecordFollower::since(std::uint64_t From) const {
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
  if (m_IsReached || !m_IsToldOfReach) {
    m_IsReached = false;
    m_IsToldOfReach = true;
    m_Settings.m_OnReach(false, Now);
  }
  absl::Duration Pause =
      std::min(m_Settings.m_LeastPause * std::exp2(m_Failures - 1),
               m_Settings.m_MostPause);
  // Many daemons lose the store at once and are not to return at once.
  Pause *= 0.5 + m_Settings.m_Random() / 2;
  m_Settings.m_Later(
      [this] {
        bool IsPolling = m_Settings.m_ReadAllEvery == absl::InfiniteDuration();
        if (m_HasRead && IsPolling)
          poll();
        else
          readAll();
      },
      Pause);
}

void RecordFollower::onAnswer(absl::Time Now) {
  m_Failures = 0;
  if (m_IsReached)
    return;
  m_IsReached = m_IsToldOfReach = true;
  m_Settings.m_OnReach(true, Now);
}

} // namespace knapweedloft::mesh
