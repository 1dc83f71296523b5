#include "logservice/LogStore.h"

#include "platform/OffsetExpired.h"
#include "platform/PlatformError.h"

#include <algorithm>

namespace knapweedloft::logservice {
namespace {

using platform::PlatformError;
using platform::PlatformErrorKind;

constexpr std::string_view GarbagePayload = "\xff\xfe not a record";

/// Counts a fault down. \returns whether it was on.
bool takeOne(std::uint32_t &Count) {
  if (Count == 0)
    return false;
  --Count;
  return true;
}

} // namespace

model::LogOffset LogStore::append(const std::string &Stream,
                                  std::string_view Payload) {
  slowDown();
  absl::MutexLock Lock(&m_Mutex);
  failIfAway();
  if (m_Faults.m_IsFull)
    throw PlatformError(PlatformErrorKind::NoSpace, "the log has no space");
  if (takeOne(m_Faults.m_GarbageRecords))
    store(Stream, GarbagePayload);
  const model::LogOffset Offset = store(Stream, Payload);
  if (takeOne(m_Faults.m_DuplicateAppends))
    store(Stream, Payload);
  if (takeOne(m_Faults.m_LoseAnswers))
    throw PlatformError(PlatformErrorKind::OutcomeUnknown,
                        "the answer was lost");
  return Offset;
}

platform::LogRead LogStore::read(const std::string &Stream,
                                 model::LogOffset From, std::size_t MaxRecords,
                                 absl::Duration Wait) {
  slowDown();
  absl::MutexLock Lock(&m_Mutex);
  failIfAway();
  auto IsReady = [this, &Stream,
                  From]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex) {
    return m_IsClosed || m_Faults.m_IsDown || m_Faults.m_IsMute ||
           m_Streams[Stream].end() > From;
  };
  m_Mutex.AwaitWithTimeout(absl::Condition(&IsReady), Wait);
  failIfAway();
  const StreamState &State = m_Streams[Stream];
  if (From < State.m_First)
    throw platform::OffsetExpired(State.m_First, State.end());
  return copyRecords(State, From, MaxRecords);
}

platform::LogService LogStore::service() {
  return {.m_Append =
              [this](const std::string &Stream, std::string_view Payload) {
                return append(Stream, Payload);
              },
          .m_Read =
              [this](const std::string &Stream, model::LogOffset From,
                     std::size_t MaxRecords, absl::Duration Wait) {
                return read(Stream, From, MaxRecords, Wait);
              }};
}

void LogStore::setFaults(LogFaults Faults) {
  absl::MutexLock Lock(&m_Mutex);
  m_Faults = Faults;
}

void LogStore::expireBefore(const std::string &Stream,
                            model::LogOffset Offset) {
  absl::MutexLock Lock(&m_Mutex);
  StreamState &State = m_Streams[Stream];
  while (State.m_First < Offset && !State.m_Payloads.empty()) {
    State.m_Payloads.pop_front();
    ++State.m_First;
  }
}

void LogStore::awaitVoice() {
  absl::MutexLock Lock(&m_Mutex);
  auto HasVoice = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex) {
    return m_IsClosed || !m_Faults.m_IsMute;
  };
  m_Mutex.Await(absl::Condition(&HasVoice));
}

bool LogStore::isMute() {
  absl::MutexLock Lock(&m_Mutex);
  return m_Faults.m_IsMute;
}

bool LogStore::takeGarbageAnswer() {
  absl::MutexLock Lock(&m_Mutex);
  return takeOne(m_Faults.m_GarbageAnswers);
}

void LogStore::close() {
  absl::MutexLock Lock(&m_Mutex);
  m_IsClosed = true;
}

model::LogOffset LogStore::end(const std::string &Stream) {
  absl::MutexLock Lock(&m_Mutex);
  return m_Streams[Stream].end();
}

std::uint64_t LogStore::appendCount() {
  absl::MutexLock Lock(&m_Mutex);
  return m_AppendCount;
}

void LogStore::slowDown() {
  absl::MutexLock Lock(&m_Mutex);
  if (m_Faults.m_Slow > absl::ZeroDuration())
    m_Mutex.AwaitWithTimeout(absl::Condition(&m_IsClosed), m_Faults.m_Slow);
}

void LogStore::failIfAway() {
  if (m_Faults.m_IsDown || m_Faults.m_IsMute)
    throw PlatformError(PlatformErrorKind::Unavailable, "the log is away");
}

model::LogOffset LogStore::store(const std::string &Stream,
                                 std::string_view Payload) {
  StreamState &State = m_Streams[Stream];
  State.m_Payloads.emplace_back(Payload);
  ++m_AppendCount;
  const model::LogOffset Offset = State.end() - 1;
  if (State.m_Payloads.size() > m_Settings.m_KeptRecords) {
    State.m_Payloads.pop_front();
    ++State.m_First;
  }
  return Offset;
}

platform::LogRead LogStore::copyRecords(const StreamState &Stream,
                                        model::LogOffset From,
                                        std::size_t MaxRecords) {
  platform::LogRead Read{.m_First = Stream.m_First, .m_End = Stream.end()};
  const model::LogOffset Last =
      From >= Stream.end()
          ? From
          : From + std::min<std::uint64_t>(MaxRecords, Stream.end() - From);
  const bool IsRepeated = Last > From && takeOne(m_Faults.m_RepeatRecords);
  for (model::LogOffset Each = From; Each < Last; ++Each) {
    Read.m_Records.push_back({Each, Stream.m_Payloads[Each - Stream.m_First]});
    if (IsRepeated)
      Read.m_Records.push_back(Read.m_Records.back());
  }
  return Read;
}

} // namespace knapweedloft::logservice
