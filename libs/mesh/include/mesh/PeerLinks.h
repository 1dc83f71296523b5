#ifndef KNAPWEEDLOFT_MESH_PEERLINKS_H
#define KNAPWEEDLOFT_MESH_PEERLINKS_H

#include "link/LinkNode.h"
#include "mesh/ComponentLog.h"
#include "mesh/PeerTarget.h"
#include "mesh/RolloutPeer.h"
#include "model/Member.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// Tracks the peers of a daemon, the links to them, and the last reported
/// state of their targets.
///
/// Members become known from the store and from the greetings on links, so that
/// the others find a restarted daemon while the store is unavailable. Of two
/// daemons, the one whose name sorts first opens the link; the other tries only
/// after a delay. Belongs to one thread.
class PeerLinks {
public:
  /// An instance of a target and the service for which it was open.
  struct RememberedTarget {
    std::string m_Service;
    std::string m_Instance; ///< Empty: not known.
  };

  struct Hooks {
    std::function<void(const model::Endpoint &To)> m_Connect;
    std::function<void(link::PeerHandle)> m_Close;
    /// \returns a random number in [0, 1).
    std::function<double()> m_Random;
  };

  struct Options {
    model::Member m_Self;
    /// Delay between attempts to open a link; doubles up to the maximum.
    absl::Duration m_MinRetryDelay = absl::Milliseconds(200);
    absl::Duration m_MaxRetryDelay = absl::Seconds(1);
    /// How long the daemon whose name sorts last waits for the other to
    /// connect.
    absl::Duration m_AcceptorDelay = absl::Milliseconds(300);
    /// A daemon without a link for this long is not counted among those that
    /// a roll-out has to hear from: it may be gone for good.
    absl::Duration m_AbsentAfter = absl::Seconds(30);
    Hooks m_Hooks;
  };

  PeerLinks(Options Settings, ComponentLog Log);

  /// A member record was read from the store.
  void onMember(const model::Member &Member, absl::Time Now);
  /// A member record was removed from the store.
  void onMemberRemoved(const std::string &Name);

  /// A link to \p Member is up.
  void onUp(link::PeerHandle Link, const model::Member &Member, absl::Time Now);
  /// A link is down. \returns the daemon if it was the last link to it.
  const model::Member *onDown(link::PeerHandle Link, link::LinkEnd Reason,
                              absl::Time Now);
  /// A peer reported the state of its target.
  void onTargetState(link::PeerHandle From, const wire::TargetNewsT &State);

  /// Opens missing links to known members.
  void tick(absl::Time Now);

  /// \returns the target of the daemon behind \p Link as it was last open, also
  /// by the word of an earlier process of that daemon.
  [[nodiscard]] RememberedTarget rememberedTarget(link::PeerHandle Link) const;

  /// \returns the link to this incarnation of a daemon, or an invalid handle.
  [[nodiscard]] link::PeerHandle linkTo(const model::Member &Member) const;
  [[nodiscard]] const model::Member *memberOf(link::PeerHandle Link) const;
  [[nodiscard]] std::vector<link::PeerHandle> links() const;
  /// \returns the targets of a service beside all peers.
  [[nodiscard]] std::vector<PeerTarget>
  targetsOf(const std::string &Service) const;
  /// \returns all known peers.
  [[nodiscard]] std::vector<RolloutPeer> rolloutPeers(absl::Time Now) const;
  /// \returns the number of known members, this one included.
  [[nodiscard]] std::size_t daemons() const { return m_Peers.size() + 1; }
  /// \returns the number of peers with a link.
  [[nodiscard]] std::size_t linked() const;

private:
  struct Peer {
    model::Member m_Member;
    std::vector<link::PeerHandle> m_Links;
    wire::TargetNewsT m_TargetState; ///< Without the calls.
    std::vector<CallEdge> m_Calls;
    RememberedTarget m_LastOpen; ///< Kept when the daemon starts again.
    absl::Time m_NextConnect;
    absl::Duration m_RetryDelay;
    absl::Time m_LastLinked; ///< Or first known; while it has no link.
  };

  Peer &peerNamed(const model::Member &Member, absl::Time Now);

  Options m_Options;
  ComponentLog m_Log;
  absl::btree_map<std::string, Peer> m_Peers;
  absl::flat_hash_map<link::PeerHandle, std::string> m_ByLink;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_PEERLINKS_H
