#ifndef KNAPWEEDLOFT_MESH_ROLLOUTDIRECTOR_H
#define KNAPWEEDLOFT_MESH_ROLLOUTDIRECTOR_H

#include "link/generated/link_generated.h"
#include "mesh/ComponentLog.h"
#include "mesh/RolloutPeer.h"
#include "mesh/RolloutStatus.h"
#include "mesh/StorePort.h"
#include "policy/RolloutPlan.h"

#include "absl/time/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

namespace wire = link::wire;

/// One roll-out, as one of the daemons that may decide it sees it.
///
/// The daemon that decides has claimed the order by a conditional write of its
/// status, with an epoch one higher than any before; it tells the others what
/// to do. Each of them keeps the newest news, hands it on when a link comes up,
/// and claims the order, by its rank, when the news ceases. An outcome that
/// stands in the store is final, and only one is ever written. \c completed is
/// told after it is written; \c rolled_back is told first. Belongs to one
/// thread; the hooks may not call back into it before they return.
class RolloutDirector {
public:
  /// The status of the roll-out in the store.
  struct StatusRead {
    StoreOutcome m_Outcome = StoreOutcome::Unknown;
    std::optional<RolloutStatus> m_Status; ///< Absent: there is none.
    std::uint64_t m_End = 0;               ///< Of the topic.
  };

  struct Hooks {
    /// \returns the other daemons that may decide, or nothing if this one may
    /// not.
    std::function<std::optional<std::vector<RolloutPeer>>(absl::Time Now)>
        m_Peers;
    std::function<void(link::PeerHandle, const wire::RolloutNewsT &)> m_Send;
    /// News for the local target.
    std::function<void(const wire::RolloutNewsT &, absl::Time Now)> m_OnNews;
    std::function<void(std::function<void(StatusRead, absl::Time Now)>)>
        m_ReadStatus;
    /// Writes if the topic ends at \p At.
    std::function<void(const RolloutStatus &, std::uint64_t At,
                       StorePort::OnWritten)>
        m_WriteStatus;
  };

  struct Options {
    model::Member m_Self;
    RolloutOrderId m_Id;
    policy::RolloutPlan::Order m_Order;
    /// The order was seen when it was given, not when the daemon started.
    bool m_IsNew = true;
    policy::RolloutPlan::Options m_Plan;
    absl::Duration m_NewsInterval = absl::Milliseconds(250);
    /// News that is not final holds for this time; then another daemon claims.
    absl::Duration m_NewsLifetime = absl::Milliseconds(1500);
    /// Between the claims of two daemons, by rank.
    absl::Duration m_RankDelay = absl::Seconds(1);
    /// Longest time between two ticks of a daemon that was not paused.
    absl::Duration m_MaxPause = absl::Seconds(1);
    /// From a failed call to the store until the next.
    absl::Duration m_StoreRetryDelay = absl::Milliseconds(400);
    /// Between two reads of a daemon that may not claim.
    absl::Duration m_RereadInterval = absl::Seconds(2);
    Hooks m_Hooks;
  };

  struct Counts {
    std::uint64_t m_Claims = 0;    ///< That succeeded.
    std::uint64_t m_Handovers = 0; ///< Epochs that another daemon ended.
    std::uint64_t m_StoreCalls = 0;
  };

  RolloutDirector(Options Settings, ComponentLog Log, absl::Time Now);

  void tick(absl::Time Now);
  void onNews(link::PeerHandle From, const wire::RolloutNewsT &News,
              absl::Time Now);
  /// Of the local target or of that of another daemon.
  void onSample(const policy::RolloutSample &Sample, absl::Time Now);
  void onLinkUp(link::PeerHandle Link, absl::Time Now);
  void onDaemonLost(const std::string &Daemon, absl::Time Now);
  /// The store came back from an older copy: the status may be lost.
  void onNewEra(std::uint64_t Era, absl::Time Now);
  /// The operator removed the order.
  void onOrderRemoved(absl::Time Now);
  /// The order's record was found again in another era.
  void setId(const RolloutOrderId &Id) {
    m_Options.m_Id = Id;
    m_Era = std::max(m_Era, Id.m_Era);
  }

  [[nodiscard]] const RolloutOrderId &id() const { return m_Options.m_Id; }
  [[nodiscard]] bool isDeciding() const { return m_Plan != nullptr; }
  /// \returns the name of the daemon that samples go to; empty: none.
  [[nodiscard]] std::string decider(absl::Time Now) const;
  [[nodiscard]] policy::RolloutPhase phase() const;
  /// \returns the share of the requests for the new version.
  [[nodiscard]] double exposure() const { return m_Known.exposure; }
  [[nodiscard]] std::uint64_t epoch() const { return m_Known.epoch; }
  /// \returns whether the outcome stands in the store.
  [[nodiscard]] bool isSettled() const { return m_IsSettled; }
  [[nodiscard]] const Counts &counts() const { return m_Counts; }

private:
  // RolloutDirector.cpp
  void decide(absl::Time Now);
  /// Tells the command in force.
  void tell(const std::vector<RolloutPeer> &Peers, absl::Time Now);
  void send(link::PeerHandle To, absl::Time Now);
  void giveUp(const char *Why, absl::Time Now);
  /// Makes the decider roll back whatever its plan says.
  void adoptRollback(const std::string &Why);
  /// Takes over news that counts whatever its epoch.
  void adopt(const wire::RolloutNewsT &News, absl::Time Sent, absl::Time Now);
  /// Takes over an outcome that stood in the store in the era of the news.
  void adoptStored(wire::RolloutNewsT News, absl::Time Sent, absl::Time Now);
  void noteDeadline(const wire::RolloutNewsT &News, absl::Time Now);
  [[nodiscard]] absl::Time deadline() const {
    return m_Options.m_Order.m_Received + m_Options.m_Order.m_Duration;
  }
  [[nodiscard]] bool isFresh(absl::Time Now) const {
    return Now - m_KnownSent < m_Options.m_NewsLifetime;
  }
  void logPhase(std::string_view Reason) const;

  // RolloutClaim.cpp
  [[nodiscard]] std::size_t
  rankAmong(const std::vector<RolloutPeer> &Peers) const;
  [[nodiscard]] absl::Time
  claimTime(const std::vector<RolloutPeer> &Peers) const;
  [[nodiscard]] static bool hearsMost(const std::vector<RolloutPeer> &Peers);
  void readStatus(absl::Time Now);
  void onStatusRead(const StatusRead &Read, absl::Time Now);
  void onStoredOutcome(const RolloutStatus &Status, absl::Time Now);
  void claim(const std::optional<RolloutStatus> &Former, std::uint64_t At,
             absl::Time Now);
  void startDeciding(std::uint64_t Epoch, absl::Time Now);
  void writeOutcome(std::uint64_t At, absl::Time Now);
  void onOutcomeWritten(StoreOutcome Outcome, const RolloutStatus &Written,
                        absl::Time Now);
  /// Claims, or writes an outcome that is known, after a read that showed none.
  void takeOver(const StatusRead &Read, absl::Time Now);
  /// \returns whether another daemon has claimed so lately that its news may
  /// still come.
  [[nodiscard]] bool isClaimYoung(const RolloutStatus &Status,
                                  const std::vector<RolloutPeer> &Peers,
                                  absl::Time Now);
  [[nodiscard]] RolloutStatus statusOf(RolloutOutcome Outcome,
                                       std::uint64_t Epoch) const;
  [[nodiscard]] bool isOwn(const RolloutStatus &Status) const;

  Options m_Options;
  ComponentLog m_Log;
  std::string m_Life;  ///< Name and incarnation of this daemon.
  std::uint64_t m_Era; ///< Newest of the store that this daemon knows of.
  absl::Time m_Since;  ///< Of the order, at this daemon.
  absl::Time m_LastTick;
  /// The newest news, own or heard, and when its decider sent it.
  wire::RolloutNewsT m_Known;
  absl::Time m_KnownSent = absl::InfinitePast();
  std::unique_ptr<policy::RolloutPlan> m_Plan; ///< While this one decides.
  policy::RolloutPlan::Command m_Command;
  std::uint64_t m_Epoch = 0; ///< Own, while it decides.
  std::uint64_t m_End = 0;   ///< Of the topic after the own last write.
  absl::Time m_NextNews = absl::InfinitePast();
  absl::Time m_NextStoreCall = absl::InfinitePast();
  std::uint64_t m_SeenEpoch = 0; ///< Of a claim in the store, without news.
  absl::Time m_SeenAt;
  bool m_IsCalling = false;  ///< A call to the store is out.
  bool m_MustVerify = false; ///< Whether the epoch is still in force.
  bool m_MustRead = false;   ///< Before the next write.
  bool m_IsRollbackHeard = false;
  bool m_IsSettled = false;
  Counts m_Counts;
  /// Answers of the store to a former object are void.
  std::shared_ptr<bool> m_IsAlive = std::make_shared<bool>(true);
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ROLLOUTDIRECTOR_H
