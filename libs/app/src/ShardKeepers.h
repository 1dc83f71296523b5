#ifndef KNAPWEEDLOFT_APP_SHARDKEEPERS_H
#define KNAPWEEDLOFT_APP_SHARDKEEPERS_H

#include "link/generated/link_generated.h"
#include "model/Rate.h"
#include "policy/FailureDetector.h"
#include "policy/GrantLifetime.h"
#include "policy/LeasedTokenBucket.h"
#include "state/Snapshot.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedloft::app {

/// The shards that this daemon keeps, and the buckets of their customers.
class ShardKeepers {
public:
  ShardKeepers(policy::PeerIncarnation Self,
               const policy::GrantLifetime &Lifetime)
      : m_Self(std::move(Self)), m_Lifetime(Lifetime) {}

  /// Takes up \p Shard for the epoch of \p Record if that names this daemon,
  /// and gives it up if not. \p StopsWithin is how long the former keeper may
  /// go on after it was replaced.
  void update(std::uint32_t Shard, const state::KeeperRecord &Record,
              absl::Duration StopsWithin, absl::Time Now);

  /// \returns whether this daemon keeps \p Shard at \p Epoch.
  [[nodiscard]] bool keeps(std::uint32_t Shard, std::uint64_t Epoch) const;

  /// Answers an ask for a shard that is kept. A grant with lifetime 0 means
  /// that this keeper does not grant yet.
  link::wire::GrantT answer(const policy::PeerIncarnation &Holder,
                            const link::wire::GrantAskT &Ask,
                            const model::Rate &Limits, absl::Time Now);

  /// Forgets buckets that are full.
  void expire(absl::Time Now);

  [[nodiscard]] std::size_t size() const { return m_Shards.size(); }

private:
  struct Shard {
    std::uint64_t m_Epoch = 0;
    absl::Time m_Starts;
    absl::flat_hash_map<std::string, policy::LeasedTokenBucket> m_Keepers;
  };

  policy::PeerIncarnation m_Self;
  policy::GrantLifetime m_Lifetime;
  absl::flat_hash_map<std::uint32_t, Shard> m_Shards;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SHARDKEEPERS_H
