#ifndef KNAPWEEDLOFT_STATE_SNAPSHOTSTORE_H
#define KNAPWEEDLOFT_STATE_SNAPSHOTSTORE_H

#include "state/Snapshot.h"

#include <memory>

namespace knapweedloft::state {

/// Publishes the newest snapshot to many reading threads by read-copy-update.
///
/// A reader holds a ReadGuard for the length of one decision and never across
/// a wait; where a snapshot must outlive that, share() takes a reference.
///
/// \code
///   SnapshotStore::ReadGuard State(Store);
///   const model::Route *Found = State->findRoute("GET", "/orders/7");
/// \endcode
class SnapshotStore {
public:
  SnapshotStore(); ///< Holds an empty snapshot at offset 0.
  ~SnapshotStore();

  class ReadGuard {
  public:
    explicit ReadGuard(const SnapshotStore &Store);
    ~ReadGuard();
    ReadGuard(const ReadGuard &) = delete;
    ReadGuard &operator=(const ReadGuard &) = delete;
    const Snapshot *operator->() const { return m_Snapshot; }
    const Snapshot &operator*() const { return *m_Snapshot; }

  private:
    const Snapshot *m_Snapshot;
  };

  /// Replaces the snapshot. A snapshot with a lower offset than the present
  /// one is ignored, so that state never goes back.
  /// \returns whether it was taken.
  bool publish(SnapshotPtr Next);

  [[nodiscard]] SnapshotPtr share() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_SNAPSHOTSTORE_H
