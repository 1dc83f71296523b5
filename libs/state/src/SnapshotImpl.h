#ifndef KNAPWEEDLOFT_STATE_SNAPSHOTIMPL_H
#define KNAPWEEDLOFT_STATE_SNAPSHOTIMPL_H

#include "CowMap.h"
#include "MemberTable.h"
#include "RouteTable.h"
#include "state/Snapshot.h"

#include "absl/container/flat_hash_set.h"

#include <array>
#include <memory>
#include <string>

namespace knapweedloft::state {

using HeldPtr = std::shared_ptr<const HeldResource>;

/// Names of what is withdrawn.
struct WithdrawnNames {
  absl::flat_hash_set<std::string> m_DataCenters;
  absl::flat_hash_set<std::string> m_Targets;
};

/// The sections of the state. A fold owns one that it writes to; those inside
/// snapshots are frozen.
class Snapshot::Impl {
public:
  Impl();

  /// \returns a copy that later writes to this one do not change.
  [[nodiscard]] std::unique_ptr<const Impl> freeze();

  [[nodiscard]] const HeldResource *find(model::ResourceKind Kind,
                                         std::string_view Name) const;
  [[nodiscard]] std::vector<const HeldResource *>
  list(model::ResourceKind Kind) const;

  /// Adds or replaces a resource, in the sections derived from it too.
  void set(HeldResource Held);
  void erase(model::ResourceKind Kind, std::string_view Name);

  /// Writes without updating what is built from whole lists; rebuild() must
  /// follow.
  void setAlone(HeldResource Held);
  void rebuild();

  [[nodiscard]] const model::Key *findKey(const model::KeyDigest &Digest) const;
  [[nodiscard]] const model::Quarantine *
  findQuarantine(model::Fingerprint Print) const;
  /// \returns how many keys \p Customer has.
  [[nodiscard]] std::uint32_t keyCountOf(std::string_view Customer) const;

  model::LogOffset m_Offset = 0;
  MemberTable m_Members;
  CowMap<std::uint32_t, KeeperRecord> m_Keepers;
  std::shared_ptr<const RouteTable> m_Routes;
  std::shared_ptr<const WithdrawnNames> m_Withdrawn;

private:
  void removeFromIndexes(const HeldResource &Former);
  void rebuildFor(model::ResourceKind Kind);
  void rebuildRoutes();
  void rebuildWithdrawn();
  void countKey(const std::string &Customer, std::int32_t Change);

  std::array<CowMap<std::string, HeldPtr>, model::ResourceKindCount>
      m_Resources;
  CowMap<model::KeyDigest, HeldPtr> m_KeysByDigest;
  CowMap<model::Fingerprint, HeldPtr> m_QuarantinesByPrint;
  CowMap<std::string, std::uint32_t> m_KeyCounts; ///< By customer.
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_SNAPSHOTIMPL_H
