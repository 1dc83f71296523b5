#ifndef KNAPWEEDLOFT_APP_MEMBERSHIP_H
#define KNAPWEEDLOFT_APP_MEMBERSHIP_H

#include "link/generated/link_generated.h"
#include "model/Member.h"
#include "policy/FailureDetector.h"
#include "state/Record.h"
#include "state/Snapshot.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// Keeps the list of members true: joins and leaves in the log, liveness
/// between them by peers.
///
/// Each daemon holds links to the few members that it watches on a ring. The
/// heartbeats of a link are the probes; when it falls silent, other peers are
/// asked before the member becomes suspect, and its other watchers are told.
/// The death of a member is appended once, by the first of its watchers that is
/// alive; the others wait their turns. Belongs to the link thread.
///
/// \code
///   Membership Members({.m_Self = Self}, Random, std::move(Hooks));
///   Members.onSnapshot(Store.share(), Now);
///   for (const model::Member &Peer : Members.wantedLinks())
///     keepLinkTo(Peer);
/// \endcode
class Membership {
public:
  struct Hooks {
    /// Sends to a member by name. \returns false if there is no link.
    std::function<bool(const std::string &Name,
                       link::wire::MessageUnion Message)>
        m_Send;
    /// Opens a link if there is none; onPeerUp() may follow.
    std::function<void(const model::Member &Peer)> m_Connect;
    /// Appends to the log, in the background and perhaps in vain.
    std::function<void(const state::Entry &Entry)> m_Append;
    /// FreshnessTracker::isTrusted() with the log being read: deaths and joins
    /// are only appended on a state that is fresh.
    std::function<bool(absl::Time Now)> m_IsFresh;
  };

  struct Options {
    model::Member m_Self;
    std::size_t m_Watchers = 3;
    policy::FailureDetector::Options m_Detector = {};
    /// Time that each earlier watcher has to append a death.
    absl::Duration m_DeathTurn = absl::Seconds(1);
    /// Appends are spread over this long at most when many members of a large
    /// fleet go or come at once.
    absl::Duration m_MassSpread = absl::Seconds(10);
    /// An append that did not show in the state is repeated after this.
    absl::Duration m_RepeatAfter = absl::Seconds(5);
    /// How long a helper tries to reach a member for another.
    absl::Duration m_HelpWithin = absl::Milliseconds(800);
  };

  Membership(Options Settings, absl::BitGenRef Random, Hooks Surroundings);
  ~Membership();

  /// The state has advanced. Joins if this daemon is not a member. Changes
  /// that come fast are taken in together at a later tick().
  void onSnapshot(const state::SnapshotPtr &State, absl::Time Now);

  void onPeerUp(const policy::PeerIncarnation &Peer, absl::Time Now);
  void onPeerDown(const std::string &Name, absl::Time Now);
  /// Anything arrived from \p Name; heartbeats count.
  void onReceived(const std::string &Name, absl::Time Now);
  /// \returns whether the message was one of this component.
  bool onMessage(const policy::PeerIncarnation &From,
                 const link::wire::MessageUnion &Message, absl::Time Now);
  /// Call it about every 100 ms.
  void tick(absl::Time Now);

  /// Leaves for good; joins no more.
  void leave();

  /// \returns false for a member that is suspect or dead by this daemon's own
  /// watching or by the word of its watchers.
  [[nodiscard]] bool isAlive(const std::string &Name) const;

  /// \returns the members to which this daemon should hold links.
  [[nodiscard]] std::vector<model::Member> wantedLinks() const;

  struct Counters {
    std::uint64_t m_Probes = 0; ///< Asked of helpers.
    std::uint64_t m_News = 0;   ///< Sent to other watchers.
    std::uint64_t m_Suspicions = 0;
    std::uint64_t m_Deaths = 0; ///< Appended.
    std::uint64_t m_Joins = 0;  ///< Appended.
  };
  [[nodiscard]] Counters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_MEMBERSHIP_H
