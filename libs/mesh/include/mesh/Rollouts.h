#ifndef KNAPWEEDLOFT_MESH_ROLLOUTS_H
#define KNAPWEEDLOFT_MESH_ROLLOUTS_H

#include "mesh/ComponentLog.h"
#include "mesh/NodePorts.h"
#include "mesh/RolloutDirector.h"
#include "mesh/RolloutSettings.h"
#include "mesh/TargetRollout.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// The part of a daemon in the roll-outs of versions: the operator's orders,
/// the messages, and the roll-out of the local target's service.
///
/// The daemons of a service decide on its roll-outs, or all if it has none.
/// Belongs to one thread; the hooks may not call back into it before they
/// return.
///
/// \code
///   Rollouts Made(std::move(Options), Log);
///   TargetOptions.m_Rollout = &Made.target();
///   Made.onOrder(Order, Record, Now); // as the operator's records are read
///   Made.tick(Now);                   // several times a second
/// \endcode
class Rollouts {
public:
  struct Hooks {
    std::function<std::vector<RolloutPeer>(absl::Time Now)> m_Peers;
    std::function<void(link::PeerHandle, const wire::RolloutNewsT &)>
        m_SendNews;
    std::function<void(link::PeerHandle, const wire::RolloutSampleT &)>
        m_SendSample;
    /// Fills in the state of the local target.
    std::function<void(policy::RolloutSample &, absl::Time Now)> m_FillSample;
  };

  struct Options {
    model::Member m_Self;
    HeaderNames m_HeaderNames;
    RolloutSettings m_Settings;
    NodePorts m_Ports;
    absl::Duration m_SampleInterval = absl::Milliseconds(250);
    Hooks m_Hooks;
  };

  Rollouts(Options Settings, ComponentLog Log);

  [[nodiscard]] TargetRollout &target() { return m_Target; }

  /// The operator's records have been read once, from the store or a peer.
  void onRecordsRead();
  /// \p Record holds the order.
  void onOrder(const RolloutOrder &Order, const StoredRecord &Record,
               absl::Time Now);
  /// The operator wrote an order that cannot be read.
  void onUnreadableOrder() { ++m_Unreadable; }
  void onNews(link::PeerHandle From, const wire::RolloutNewsT &News,
              absl::Time Now);
  void onSample(const model::Member &From, const wire::RolloutSampleT &Message,
                absl::Time Now);
  void onLinkUp(link::PeerHandle Link, const model::Member &Member,
                absl::Time Now);
  void onDaemonLost(const model::Member &Member, absl::Time Now);
  /// The store came back from an older copy.
  void onNewEra(std::uint64_t Era, absl::Time Now);
  void tick(absl::Time Now);

  /// \returns the roll-out of a service, or null if none was ordered.
  [[nodiscard]] const RolloutDirector *find(const std::string &Service) const;
  void appendMetrics(std::string &Text, absl::Time Now) const;

private:
  [[nodiscard]] std::unique_ptr<RolloutDirector>
  makeDirector(const RolloutOrder &Order, const RolloutOrderId &Id,
               absl::Time Now);
  /// \returns the other daemons that may decide on a roll-out of \p Service, or
  /// nothing if this one may not.
  [[nodiscard]] std::optional<std::vector<RolloutPeer>>
  decidersOf(const std::string &Service, absl::Time Now) const;
  void readStatus(
      const std::string &Service,
      const std::function<void(RolloutDirector::StatusRead, absl::Time)> &Then);
  void sendSample(RolloutDirector &To, absl::Time Now);

  Options m_Options;
  ComponentLog m_Log;
  TargetRollout m_Target;
  absl::btree_map<std::string, std::unique_ptr<RolloutDirector>> m_Directors;
  bool m_HasRecords = false;
  absl::Time m_NextSample = absl::InfinitePast();
  std::uint64_t m_Orders = 0;
  std::uint64_t m_Unreadable = 0;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ROLLOUTS_H
