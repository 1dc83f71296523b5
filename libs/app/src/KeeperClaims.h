#ifndef KNAPWEEDLOFT_APP_KEEPERCLAIMS_H
#define KNAPWEEDLOFT_APP_KEEPERCLAIMS_H

#include "policy/FailureDetector.h"
#include "state/KeeperClaim.h"
#include "state/Snapshot.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::app {

/// \returns whether nobody keeps the shard of \p Record: nobody ever has, or
/// the keeper is no longer a member in that incarnation.
[[nodiscard]] bool isVacant(const state::Snapshot &State,
                            const state::KeeperRecord &Record);

/// Decides which vacant shards this daemon claims.
///
/// Only shards that have a customer with a rate need a keeper. The first choice
/// of the election claims at once, the next ones after a turn each.
class KeeperClaims {
public:
  struct Options {
    policy::PeerIncarnation m_Self;
    absl::Duration m_Turn;
    absl::Duration m_StopsWithin;
  };

  explicit KeeperClaims(Options Settings) : m_Settings(std::move(Settings)) {}

  /// \returns the claims to append now.
  std::vector<state::KeeperClaim>
  claims(const state::Snapshot &State,
         const std::function<bool(const std::string &)> &IsAlive,
         absl::Time Now);

  /// A keeper left of its own accord, having stopped before.
  void onLeave(const policy::PeerIncarnation &Who) {
    m_Left.insert(Who.m_Incarnation);
  }

  /// The state names \p Record for \p Shard.
  void onRecord(std::uint32_t Shard, const state::KeeperRecord &Record,
                absl::Time Now);

  /// \returns how long from \p Now on any keeper of \p Shard before the one of
  /// \p Epoch may go on: zero if all have certainly stopped.
  [[nodiscard]] absl::Duration stopsWithin(const state::Snapshot &State,
                                           std::uint32_t Shard,
                                           std::uint64_t Epoch,
                                           absl::Time Now) const;

private:
  /// A shard without a keeper.
  struct Vacancy {
    state::KeeperRecord m_Former;
    absl::Time m_Since;
    absl::Time m_ClaimedAt = absl::InfinitePast();
  };

  /// When this daemon first saw the keepers of a shard.
  struct Seen {
    std::uint64_t m_Epoch = 0;
    absl::Time m_At;
    absl::Time m_FormerAt; ///< Of the epoch before.
  };

  /// \returns whether the former keeper itself has certainly stopped.
  [[nodiscard]] bool hasStopped(const state::Snapshot &State,
                                const state::KeeperRecord &Former) const;
  [[nodiscard]] absl::Duration
  turnOf(std::uint32_t Shard, const state::Snapshot &State,
         const std::function<bool(const std::string &)> &IsAlive) const;

  Options m_Settings;
  absl::flat_hash_map<std::uint32_t, Vacancy> m_Vacancies;
  absl::flat_hash_map<std::uint32_t, Seen> m_Seen;
  absl::flat_hash_set<model::Incarnation> m_Left;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_KEEPERCLAIMS_H
