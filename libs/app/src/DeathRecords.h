#ifndef KNAPWEEDLOFT_APP_DEATHRECORDS_H
#define KNAPWEEDLOFT_APP_DEATHRECORDS_H

#include "policy/FailureDetector.h"
#include "state/MemberRecords.h"
#include "state/Snapshot.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <string>
#include <vector>

namespace knapweedloft::app {

/// Deaths that this daemon may have to append, each at its turn.
class DeathRecords {
public:
  explicit DeathRecords(absl::Duration RepeatAfter)
      : m_RepeatAfter(RepeatAfter) {}

  void onDeath(const policy::PeerIncarnation &Peer, absl::Time AppendAt) {
    m_Due.insert_or_assign(Peer.m_Name, Due{Peer, AppendAt});
  }

  void onRecovery(const std::string &Name) { m_Due.erase(Name); }

  /// Forgets those that the state already tells of.
  void update(const state::Snapshot &State);

  /// \returns what to append now.
  std::vector<state::Leave> due(absl::Time Now);

private:
  struct Due {
    policy::PeerIncarnation m_Peer;
    absl::Time m_At;
  };

  absl::Duration m_RepeatAfter;
  absl::flat_hash_map<std::string, Due> m_Due;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_DEATHRECORDS_H
