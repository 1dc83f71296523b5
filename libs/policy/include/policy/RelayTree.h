#ifndef KNAPWEEDLOFT_POLICY_RELAYTREE_H
#define KNAPWEEDLOFT_POLICY_RELAYTREE_H

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// The tree over which records are disseminated in one data center. Daemons
/// with the same member list compute the same tree.
///
/// Members are ranked by a hash of their names. The first few follow the log.
/// Every other member receives records from its parent, found by rank as in a
/// heap with m_FanOut children per node, and from a second parent, so that the
/// failure of one parent causes no delay.
///
/// \code
///   RelayTree Tree(NamesInThisDataCenter, {});
///   if (!Tree.isFollower(Self))
///     subscribe(Tree.parentsOf(Self));
/// \endcode
class RelayTree {
public:
  struct Options {
    std::size_t m_Followers = 3; ///< Members that read the log.
    std::size_t m_FanOut = 4;    ///< First-choice children of a member.
  };

  RelayTree(const std::vector<std::string> &Members, const Options &Settings);

  [[nodiscard]] bool isFollower(const std::string &Name) const;

  /// \returns the followers, in order of rank.
  [[nodiscard]] std::vector<std::string> followers() const;

  /// \returns the members that \p Name receives records from, in order of
  /// preference: its parent, the second parent, then the followers. For a
  /// follower: the other followers. For a name that is not in the tree: the
  /// followers, which are none if the tree is empty.
  [[nodiscard]] std::vector<std::string>
  parentsOf(const std::string &Name) const;

  /// \returns the number of hops from \p Name to a follower.
  [[nodiscard]] std::size_t depthOf(const std::string &Name) const;

  [[nodiscard]] std::size_t size() const { return m_Ranked.size(); }

  /// \returns the rank of \p Name; size() if it is not in the tree.
  [[nodiscard]] std::size_t rankOf(const std::string &Name) const;

private:
  [[nodiscard]] std::size_t parentRank(std::size_t Rank) const;

  Options m_Settings;
  std::vector<std::string> m_Ranked;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RELAYTREE_H
