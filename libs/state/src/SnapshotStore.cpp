#include "state/SnapshotStore.h"

#include "SnapshotImpl.h"

#include "absl/synchronization/mutex.h"

#include <urcu/urcu-memb.h>

#include <utility>

namespace knapweedloft::state {
namespace {

/// Registers a thread with liburcu at its first read and takes it out when the
/// thread ends.
class ReaderRegistration {
public:
  ReaderRegistration() { urcu_memb_register_thread(); }
  ~ReaderRegistration() { urcu_memb_unregister_thread(); }
  ReaderRegistration(const ReaderRegistration &) = delete;
  ReaderRegistration &operator=(const ReaderRegistration &) = delete;
  void touch() const {}
};

void enterReadSide() {
  thread_local ReaderRegistration Registration;
  Registration.touch();
  urcu_memb_read_lock();
}

void leaveReadSide() { urcu_memb_read_unlock(); }

SnapshotPtr makeEmptySnapshot() {
  return std::make_shared<const Snapshot>(
      std::make_unique<const Snapshot::Impl>());
}

} // namespace

class SnapshotStore::Impl {
public:
  /// What the published pointer points to; keeps the snapshot alive.
  struct Node {
    SnapshotPtr m_Snapshot;
  };

  Impl() : m_Current(new Node{makeEmptySnapshot()}) {}

  ~Impl() {
    urcu_memb_synchronize_rcu();
    delete m_Current;
  }

  /// Call on the read side only.
  [[nodiscard]] const Node *current() const {
    return rcu_dereference(m_Current);
  }

  bool publish(SnapshotPtr Next) {
    absl::MutexLock Lock(&m_Mutex);
    Node *Former = m_Current;
    if (Next->offset() < Former->m_Snapshot->offset())
      return false;
    rcu_set_pointer(&m_Current, new Node{std::move(Next)});
    urcu_memb_synchronize_rcu();
    delete Former;
    return true;
  }

private:
  absl::Mutex m_Mutex; ///< Held by writers.
  Node *m_Current;
};

SnapshotStore::SnapshotStore() : m_Impl(std::make_unique<Impl>()) {}

SnapshotStore::~SnapshotStore() = default;

SnapshotStore::ReadGuard::ReadGuard(const SnapshotStore &Store) {
  enterReadSide();
  m_Snapshot = Store.m_Impl->current()->m_Snapshot.get();
}

SnapshotStore::ReadGuard::~ReadGuard() { leaveReadSide(); }

bool SnapshotStore::publish(SnapshotPtr Next) {
  return m_Impl->publish(std::move(Next));
}

SnapshotPtr SnapshotStore::share() const {
  enterReadSide();
  SnapshotPtr Shared = m_Impl->current()->m_Snapshot;
  leaveReadSide();
  return Shared;
}

} // namespace knapweedloft::state
