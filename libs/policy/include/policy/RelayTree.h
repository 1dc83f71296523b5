#ifndef KNAPWEEDLOFT_POLICY_RELAYTREE_H
#define KNAPWEEDLOFT_POLICY_RELAYTREE_H

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// The relay tree of one data center, the same on every daemon that has the
/// same members.
///
/// Members are ranked by a hash of their names. The first few follow the log;
/// each other one takes records from the parent at the rank of a heap, and from
/// a second parent, so that the failure of one delays nothing.
///
/// \code
///   RelayTree Tree(NamesInThisDataCenter, {});
///   if (!Tree.isFollower(Self))
///     subscribe(Tree.parentsOf(Self));
/// \endcode
class RelayTree {
public:
  struct Options {
    std::size_t m_Followers = 3; ///< Members that follow the log.
    std::size_t m_FanOut = 4;    ///< First-choice children of a member.
  };

  RelayTree(const std::vector<std::string> &Members, const Options &Settings);

  [[nodiscard]] bool isFollower(const std::string &Name) const;

  /// \returns the followers, in order of rank.
  [[nodiscard]] std::vector<std::string> followers() const;

  /// \returns from whom \p Name takes records, in order of preference: its
  /// parent, the second parent, then the followers. Of a follower: the other
  /// followers. Empty for a member that is not in the tree and alone.
  [[nodiscard]] std::vector<std::string>
  parentsOf(const std::string &Name) const;

  /// \returns the number of steps from \p Name to a follower.
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
