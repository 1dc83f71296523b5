#ifndef KNAPWEEDLOFT_APP_SPREADROLES_H
#define KNAPWEEDLOFT_APP_SPREADROLES_H

#include "model/Member.h"
#include "policy/RelayTree.h"
#include "state/Snapshot.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <string>
#include <vector>

namespace knapweedloft::app {

/// Who follows the log, and from whom this daemon takes records, by the
/// members that its state knows.
class SpreadRoles {
public:
  SpreadRoles(model::Member Self, const policy::RelayTree::Options &Settings);

  /// \returns whether the members have changed.
  bool update(const state::SnapshotPtr &State);

  /// \returns whether this daemon is a member, so that others know it.
  [[nodiscard]] bool isMember() const { return m_IsMember; }
  [[nodiscard]] bool isFollower() const;
  [[nodiscard]] std::size_t rank() const { return m_Rank; }

  /// \returns from whom to take records, in order of preference.
  [[nodiscard]] const std::vector<std::string> &parents() const {
    return m_Parents;
  }

  /// \returns the followers of \p DataCenter, in order of rank.
  [[nodiscard]] const std::vector<std::string> &
  followersOf(const std::string &DataCenter) const;

  /// \returns followers of other data centers to which a follower holds links:
  /// two of each, chosen by its own rank.
  [[nodiscard]] std::vector<std::string> remoteLinks() const;

  /// \returns whether this data center has followers besides this daemon.
  [[nodiscard]] bool hasOtherFollowers() const;

  /// \returns the data centers that have members, without this daemon's.
  [[nodiscard]] std::vector<std::string> otherDataCenters() const;

  /// \returns null for an unknown member.
  [[nodiscard]] const model::Member *find(const std::string &Name) const;

  /// \returns the data center in which \p Name is a follower; empty if it is
  /// none.
  [[nodiscard]] std::string followerSite(const std::string &Name) const;

private:
  model::Member m_Self;
  policy::RelayTree::Options m_Settings;
  state::SnapshotPtr m_State;
  bool m_IsMember = false;
  std::size_t m_Rank = 0;
  std::vector<std::string> m_Parents;
  absl::flat_hash_map<std::string, std::vector<std::string>> m_Followers;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SPREADROLES_H
