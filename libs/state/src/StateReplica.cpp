#include "state/StateReplica.h"

#include "state/Fold.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace knapweedloft::state {

class StateReplica::Impl {
public:
  explicit Impl(Options Limits) : m_Limits(Limits) {}

  ApplyResult applyAll(const std::vector<StoredRecord> &Records) {
    ApplyResult Result = ApplyResult::AlreadyApplied;
    model::LogOffset Reached = 0;
    bool HasAdvanced = false;
    {
      absl::MutexLock Lock(&m_Mutex);
      const model::LogOffset Before = m_Fold.offset();
      for (const StoredRecord &Each : Records) {
        Result = applyOne(Each);
        if (Result == ApplyResult::Gap)
          break;
      }
      Reached = m_Fold.offset();
      HasAdvanced = Reached > Before;
      if (HasAdvanced)
        m_Store.publish(m_Fold.snapshot());
    }
    if (HasAdvanced)
      callHooks(Reached);
    return Result;
  }

  bool loadImage(std::string_view Bytes) {
    Fold Loaded = Fold::fromImage(Bytes);
    const model::LogOffset Reached = Loaded.offset();
    {
      absl::MutexLock Lock(&m_Mutex);
      if (Reached <= m_Fold.offset())
        return false;
      m_Fold = std::move(Loaded);
      m_Kept.clear();
      m_KeptBytes = 0;
      m_Store.publish(m_Fold.snapshot());
    }
    callHooks(Reached);
    return true;
  }

  std::string image() const {
    absl::MutexLock Lock(&m_Mutex);
    return m_Fold.image();
  }

  std::optional<std::vector<StoredRecord>>
  recordsFrom(model::LogOffset From, std::size_t MaxRecords) const {
    absl::MutexLock Lock(&m_Mutex);
    const model::LogOffset End = m_Fold.offset();
    if (From >= End)
      return std::vector<StoredRecord>();
    const model::LogOffset First = End - m_Kept.size();
    if (From < First)
      return std::nullopt;
    const auto Begin =
        m_Kept.begin() + static_cast<std::ptrdiff_t>(From - First);
    const std::size_t Count = std::min<std::size_t>(MaxRecords, End - From);
    return std::vector<StoredRecord>(
        Begin, Begin + static_cast<std::ptrdiff_t>(Count));
  }

  std::optional<SettledChange> outcomeOf(std::string_view ChangeId) const {
    absl::MutexLock Lock(&m_Mutex);
    return m_Fold.outcomeOf(ChangeId);
  }

  std::uint64_t garbageCount() const {
    absl::MutexLock Lock(&m_Mutex);
    return m_GarbageCount;
  }

  void addHook(std::function<void(model::LogOffset)> Hook) {
    absl::MutexLock Lock(&m_HookMutex);
    m_Hooks.push_back(std::move(Hook));
  }

  SnapshotStore m_Store;

private:
  ApplyResult applyOne(const StoredRecord &Record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex) {
    if (Record.m_Offset < m_Fold.offset())
      return ApplyResult::AlreadyApplied;
    if (Record.m_Offset > m_Fold.offset())
      return ApplyResult::Gap;
    const FoldResult Result = m_Fold.apply(Record.m_Offset, Record.m_Payload);
    m_GarbageCount += Result == FoldResult::Garbage ? 1 : 0;
    keep(Record);
    return ApplyResult::Applied;
  }

  void keep(const StoredRecord &Record) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex) {
    m_Kept.push_back(Record);
    m_KeptBytes += Record.m_Payload.size();
    while (m_Kept.size() > m_Limits.m_KeptRecords ||
           m_KeptBytes > m_Limits.m_KeptBytes) {
      m_KeptBytes -= m_Kept.front().m_Payload.size();
      m_Kept.pop_front();
    }
  }

  void callHooks(model::LogOffset Reached) {
    std::vector<std::function<void(model::LogOffset)>> Hooks;
    {
      absl::MutexLock Lock(&m_HookMutex);
      Hooks = m_Hooks;
    }
    for (const auto &Each : Hooks)
      Each(Reached);
  }

  const Options m_Limits;
  mutable absl::Mutex m_Mutex;
  Fold m_Fold ABSL_GUARDED_BY(m_Mutex);
  /// The last records before the fold's offset, without gaps.
  std::deque<StoredRecord> m_Kept ABSL_GUARDED_BY(m_Mutex);
  std::size_t m_KeptBytes ABSL_GUARDED_BY(m_Mutex) = 0;
  std::uint64_t m_GarbageCount ABSL_GUARDED_BY(m_Mutex) = 0;
  absl::Mutex m_HookMutex;
  std::vector<std::function<void(model::LogOffset)>>
      m_Hooks ABSL_GUARDED_BY(m_HookMutex);
};

StateReplica::StateReplica(Options Limits)
    : m_Impl(std::make_unique<Impl>(Limits)) {}

StateReplica::~StateReplica() = default;

ApplyResult StateReplica::applyRecord(model::LogOffset Offset,
                                      std::string_view Payload) {
  return m_Impl->applyAll({{Offset, std::string(Payload)}});
}

ApplyResult
StateReplica::applyRecords(const std::vector<StoredRecord> &Records) {
  return m_Impl->applyAll(Records);
}

bool StateReplica::loadImage(std::string_view Bytes) {
  return m_Impl->loadImage(Bytes);
}

std::string StateReplica::image() const { return m_Impl->image(); }

const SnapshotStore &StateReplica::store() const { return m_Impl->m_Store; }

model::LogOffset StateReplica::offset() const {
  SnapshotStore::ReadGuard State(m_Impl->m_Store);
  return State->offset();
}

std::optional<std::vector<StoredRecord>>
StateReplica::recordsFrom(model::LogOffset From, std::size_t MaxRecords) const {
  return m_Impl->recordsFrom(From, MaxRecords);
}

std::optional<SettledChange>
StateReplica::outcomeOf(std::string_view ChangeId) const {
  return m_Impl->outcomeOf(ChangeId);
}

std::uint64_t StateReplica::garbageCount() const {
  return m_Impl->garbageCount();
}

void StateReplica::onAdvance(std::function<void(model::LogOffset)> Hook) {
  m_Impl->addHook(std::move(Hook));
}

} // namespace knapweedloft::state
