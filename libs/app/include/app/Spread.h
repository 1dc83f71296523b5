#ifndef KNAPWEEDLOFT_APP_SPREAD_H
#define KNAPWEEDLOFT_APP_SPREAD_H

#include "app/AppliedSummary.h"
#include "link/generated/link_generated.h"
#include "model/Member.h"
#include "platform/LogFreshness.h"
#include "policy/FailureDetector.h"
#include "policy/FreshnessTracker.h"
#include "policy/RelayTree.h"
#include "state/StateReplica.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::app {

/// Spreads the records of the log over the fleet and tells how fresh the state
/// is.
///
/// The first few members of each data center follow the log; every other one
/// subscribes to two members of the relay tree of its data center, which push
/// records on. Stamps ride on heartbeats. Reports of what is applied go up the
/// tree and the sum of the fleet comes down. Belongs to the link thread; only
/// freshness() and mayHoldLease() may be called from any thread.
///
/// \code
///   Spread Records({.m_Self = Self}, Replica, Random, std::move(Hooks));
///   if (Records.isFollower())
///     Follower.start(); // and hand its reads to onLogRead()
/// \endcode
class Spread {
public:
  struct Hooks {
    /// Sends to a member by name. \returns false if there is no link.
    std::function<bool(const std::string &Name,
                       link::wire::MessageUnion Message)>
        m_Send;
  };

  struct Options {
    model::Member m_Self;
    policy::RelayTree::Options m_Tree = {};
    policy::FreshnessTracker::Options m_Freshness = {};
    /// A subscription is renewed after this, which also finds what was lost.
    absl::Duration m_RenewAfter = absl::Seconds(3);
    /// A subscription lapses after this.
    absl::Duration m_SubscribedFor = absl::Seconds(10);
    absl::Duration m_ReportInterval = absl::Seconds(1);
    std::size_t m_MaxRecords = 256;                    ///< In one message.
    std::size_t m_ChunkBytes = std::size_t{256} << 10; ///< Of an image.
    std::size_t m_MaxNamed = 32; ///< Behind, in one report.
  };

  Spread(Options Settings, state::StateReplica &Replica, absl::BitGenRef Random,
         Hooks Surroundings);
  ~Spread();

  /// The state has advanced; passes new records on.
  void onSnapshot(const state::SnapshotPtr &State, absl::Time Now);

  /// The log was read, or did not answer, as \p Seen tells. Records that came
  /// with it have been applied to the replica before.
  void onLogSeen(const platform::LogFreshness &Seen, absl::Time Now);

  void onPeerUp(const model::Member &Peer, absl::Time Now);
  void onPeerDown(const std::string &Name, absl::Time Now);
  void onHeartbeat(const std::string &From, const link::wire::HeartbeatT &Beat,
                   absl::Time Now);
  /// Fills in the stamp, the clock and the offset.
  void fillHeartbeat(link::wire::HeartbeatT &Beat, absl::Time Now);
  /// \returns whether the message was one of this component.
  bool onMessage(const policy::PeerIncarnation &From,
                 const link::wire::MessageUnion &Message, absl::Time Now);
  /// Call it about every 100 ms.
  void tick(absl::Time Now);

  [[nodiscard]] bool isFollower() const;

  /// \returns the members to which this daemon should hold links.
  [[nodiscard]] std::vector<model::Member> wantedLinks() const;

  /// \returns how far the state may be trusted. From any thread.
  [[nodiscard]] policy::Freshness freshness(absl::Time Now) const;
  [[nodiscard]] bool isTrusted(absl::Time Now) const;
  [[nodiscard]] bool mayHoldLease(absl::Time Now) const;

  /// \returns the clock of a peer that was heard, at \p Now, by its
  /// heartbeats; infinitely far ahead if nothing was heard. See ClockOffset.
  [[nodiscard]] absl::Time peerNow(const std::string &Name,
                                   absl::Time Now) const;

  /// \returns what the whole fleet is known to apply.
  [[nodiscard]] AppliedSummary fleetApplied() const;

  struct Counters {
    std::uint64_t m_RecordsSent = 0;
    std::uint64_t m_ImagesSent = 0;
    std::uint64_t m_ReportsSent = 0;
    std::uint64_t m_AsksSent = 0;
  };
  [[nodiscard]] Counters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SPREAD_H
