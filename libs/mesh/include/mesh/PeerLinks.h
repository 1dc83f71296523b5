#ifndef KNAPWEEDLOFT_MESH_PEERLINKS_H
#define KNAPWEEDLOFT_MESH_PEERLINKS_H

#include "link/LinkNode.h"
#include "mesh/PeerTarget.h"
#include "mesh/Reporter.h"
#include "model/Member.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// The other daemons, the links to them, and what each last said of the target
/// beside it.
///
/// Members come from the store and from the greetings on links, so that a
/// daemon that was restarted while the store is away is found by the others.
/// Of two daemons the one of lesser name opens the link; the other does so
/// after a pause. Belongs to one thread.
class PeerLinks {
public:
  struct Hooks {
    std::function<void(const model::Endpoint &To)> m_Connect;
    std::function<void(link::PeerHandle)> m_Close;
    /// \returns a random number in [0, 1).
    std::function<double()> m_Random;
  };

  struct Options {
    model::Member m_Self;
    /// Between two tries to open a link; doubles up to the most.
    absl::Duration m_LeastPause = absl::Milliseconds(200);
    absl::Duration m_MostPause = absl::Seconds(1);
    /// How long the daemon of greater name leaves it to the other.
    absl::Duration m_Courtesy = absl::Milliseconds(300);
    Hooks m_Hooks;
  };

  PeerLinks(Options Settings, Reporter Log);

  /// A member as the store tells it.
  void onMember(const model::Member &Who, absl::Time Now);
  void onMemberGone(const std::string &Name);

  void onUp(link::PeerHandle Link, const model::Member &Who, absl::Time Now);
  /// \returns the daemon if that was the last link to it.
  const model::Member *onDown(link::PeerHandle Link, link::LinkEnd Reason,
                              absl::Time Now);
  void onNews(link::PeerHandle From, const wire::TargetNewsT &News);

  /// Opens links that are missing.
  void tick(absl::Time Now);

  /// \returns the link to a daemon, invalid if there is none.
  [[nodiscard]] link::PeerHandle linkTo(const model::Member &Who) const;
  [[nodiscard]] const model::Member *memberOf(link::PeerHandle Link) const;
  [[nodiscard]] std::vector<link::PeerHandle> links() const;
  /// \returns the targets of a service, of all daemons but this.
  [[nodiscard]] std::vector<PeerTarget>
  targetsOf(const std::string &Service) const;
  /// \returns how many daemons there are, this one included.
  [[nodiscard]] std::size_t daemons() const { return m_Peers.size() + 1; }
  [[nodiscard]] std::size_t linked() const;

private:
  struct Peer {
    model::Member m_Member;
    std::vector<link::PeerHandle> m_Links;
    wire::TargetNewsT m_News; ///< But for the calls.
    std::vector<CallEdge> m_Calls;
    absl::Time m_NextTry;
    absl::Duration m_Pause;
  };

  Peer &peerNamed(const model::Member &Who, absl::Time Now);

  Options m_Options;
  Reporter m_Log;
  absl::btree_map<std::string, Peer> m_Peers;
  absl::flat_hash_map<link::PeerHandle, std::string> m_ByLink;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_PEERLINKS_H
