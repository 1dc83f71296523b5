#ifndef KNAPWEEDLOFT_STATE_SNAPSHOT_H
#define KNAPWEEDLOFT_STATE_SNAPSHOT_H

#include "model/LogOffset.h"
#include "model/Member.h"
#include "model/Resource.h"
#include "state/KeeperRecord.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace knapweedloft::state {

/// A resource and the offset of the record that gave it its present form, plus
/// one. The ETag of the resource API is this number.
struct HeldResource {
  std::uint64_t m_Revision = 0;
  model::Resource m_Resource;
};

/// The whole state at one offset of the log. Immutable; shared by all threads.
/// Pointers into it live as long as it does.
class Snapshot {
public:
  class Impl;
  explicit Snapshot(std::unique_ptr<const Impl> State);
  ~Snapshot();

  /// Every record before it has been applied.
  [[nodiscard]] model::LogOffset offset() const;

  /// Lookups on the path of a request; null if there is none. \p Path may
  /// carry a query, which does not count.
  [[nodiscard]] const model::Key *findKey(const model::KeyDigest &Digest) const;
  [[nodiscard]] const model::Route *findRoute(std::string_view Method,
                                              std::string_view Path) const;
  [[nodiscard]] const model::Rate *findRate(std::string_view Customer) const;
  /// Expired quarantines are returned too; the caller compares the time.
  [[nodiscard]] const model::Quarantine *
  findQuarantine(model::Fingerprint Print) const;

  /// \returns the members whose target serves \p Service, ordered by name.
  [[nodiscard]] const std::vector<const model::Member *> &
  membersOf(std::string_view Service) const;
  [[nodiscard]] const std::vector<const model::Member *> &members() const;
  [[nodiscard]] const model::Member *findMember(std::string_view Name) const;

  /// \returns whether \p Who or its data centre is withdrawn.
  [[nodiscard]] bool isWithdrawn(const model::Member &Who) const;

  [[nodiscard]] const HeldResource *find(model::ResourceKind Kind,
                                         std::string_view Name) const;
  /// \returns every resource of \p Kind, ordered by name.
  [[nodiscard]] std::vector<const HeldResource *>
  list(model::ResourceKind Kind) const;

  /// \returns who keeps the rates of \p Shard; epoch 0 if nobody ever has.
  [[nodiscard]] KeeperRecord keeperOf(std::uint32_t Shard) const;

  [[nodiscard]] const Impl &impl() const { return *m_Impl; }

private:
  std::unique_ptr<const Impl> m_Impl;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_SNAPSHOT_H
