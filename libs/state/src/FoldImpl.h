#ifndef KNAPWEEDLOFT_STATE_FOLDIMPL_H
#define KNAPWEEDLOFT_STATE_FOLDIMPL_H

#include "SnapshotImpl.h"
#include "state/Fold.h"
#include "state/Record.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <deque>
#include <string>

namespace knapweedloft::state {

/// Change ids and their outcomes, the most recent ones.
class SettledChanges {
public:
  struct Entry {
    std::string m_ChangeId;
    SettledChange m_Settled;
  };

  [[nodiscard]] const SettledChange *find(std::string_view ChangeId) const;
  void add(std::string ChangeId, SettledChange Settled);
  /// In the order of the log.
  [[nodiscard]] const std::deque<Entry> &entries() const { return m_Order; }

private:
  std::deque<Entry> m_Order;
  absl::flat_hash_map<std::string, SettledChange> m_ById;
};

/// Incarnations that may not join again, the most recent ones.
class RetiredIncarnations {
public:
  [[nodiscard]] bool contains(model::Incarnation Who) const;
  void add(model::Incarnation Who);
  /// In the order of the log.
  [[nodiscard]] const std::deque<model::Incarnation> &entries() const {
    return m_Order;
  }

private:
  std::deque<model::Incarnation> m_Order;
  absl::flat_hash_set<model::Incarnation> m_Set;
};

class Fold::Impl {
public:
  FoldResult apply(model::LogOffset Offset, std::string_view Payload);

  Snapshot::Impl m_State;
  SettledChanges m_Settled;
  RetiredIncarnations m_Retired;

private:
  FoldResult applyEntry(const ResourceChange &Change);
  FoldResult applyEntry(const Join &Change);
  FoldResult applyEntry(const Leave &Change);
  FoldResult applyEntry(const KeeperClaim &Change);
  FoldResult applyEntry(const ImagePart &Change);

  [[nodiscard]] ChangeOutcome judge(const ResourceChange &Change) const;
  [[nodiscard]] ChangeOutcome judgeDeletion(const ResourceChange &Change) const;
  [[nodiscard]] ChangeOutcome
  judgeReferences(const model::Resource &What) const;

  /// \returns the revision that a change at this offset gives.
  [[nodiscard]] std::uint64_t revisionHere() const {
    return m_State.m_Offset + 1;
  }
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_FOLDIMPL_H
