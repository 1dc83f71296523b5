#ifndef KNAPWEEDLOFT_POLICY_WATCHRING_H
#define KNAPWEEDLOFT_POLICY_WATCHRING_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::policy {

/// Assigns the peers whose liveness each member monitors. Members are placed on
/// a ring by a hash of their names and each watches the next few. The number of
/// peers that a member watches, and of those that watch it, does not grow with
/// the fleet, and neighbors on the ring share a rack or a data center only by
/// chance.
class WatchRing {
public:
  WatchRing(const std::vector<std::string> &Members, std::size_t WatcherCount);

  /// \returns the members that \p Name watches, nearest first.
  [[nodiscard]] std::vector<std::string>
  watchedBy(const std::string &Name) const;

  /// \returns the members that watch \p Name, nearest first.
  [[nodiscard]] std::vector<std::string>
  watchersOf(const std::string &Name) const;

private:
  using RingEntry = std::pair<std::uint64_t, std::string>;

  [[nodiscard]] std::vector<std::string> neighborsOf(const std::string &Name,
                                                     bool IsForward) const;

  std::size_t m_WatcherCount;
  std::vector<RingEntry> m_Ring;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_WATCHRING_H
