#ifndef KNAPWEEDLOFT_APP_PEERTABLE_H
#define KNAPWEEDLOFT_APP_PEERTABLE_H

#include "link/LinkNode.h"
#include "model/Member.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// Which links lead to which members. Opens links that are wanted, again after
/// a back-off, and keeps the newest where two lead to the same member.
///
/// Not thread-safe: it belongs to the link thread.
class PeerTable {
public:
  struct Options {
    absl::Duration m_FirstBackoff = absl::Milliseconds(50);
    absl::Duration m_LongestBackoff = absl::Seconds(2);
    std::function<void(const model::Endpoint &)> m_Connect;
  };

  explicit PeerTable(Options Settings);

  /// \returns the link to the member called \p Name with the incarnation
  /// \p Life (0: any), or an invalid handle.
  [[nodiscard]] link::PeerHandle find(const std::string &Name,
                                      model::Incarnation Life = 0) const;

  /// \returns who is at the other end of \p Link, or null if it is not up.
  [[nodiscard]] const model::Member *memberOf(link::PeerHandle Link) const;

  /// Asks for a link to \p Who; opens one unless one is up, under way or
  /// backed off.
  void want(const model::Member &Who, absl::Time Now);

  void onUp(link::PeerHandle Link, const model::Member &Who);
  /// \returns whether the member is left without a link.
  bool onDown(link::PeerHandle Link);
  void onConnectFailed(const model::Endpoint &To, absl::Time Now);

  /// \returns every link that is up, the newest a member only.
  [[nodiscard]] std::vector<link::PeerHandle> links() const;

private:
  struct Dial {
    bool m_IsUnderWay = false;
    absl::Duration m_Backoff;
    absl::Time m_NotBefore = absl::InfinitePast();
  };

  Options m_Options;
  absl::flat_hash_map<std::string, link::PeerHandle> m_ByName;
  absl::flat_hash_map<std::uint32_t, model::Member> m_ByLink;
  absl::flat_hash_map<std::string, Dial> m_Dials; ///< By endpoint as text.
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_PEERTABLE_H
