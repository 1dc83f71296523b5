#ifndef KNAPWEEDLOFT_MESH_NODEIMPL_H
#define KNAPWEEDLOFT_MESH_NODEIMPL_H

#include "PlannedStop.h"
#include "http/LoopClient.h"
#include "http/LoopServer.h"
#include "io/MonotonicClock.h"
#include "link/LinkNode.h"
#include "mesh/CallerConnectionLog.h"
#include "mesh/ConnectionLog.h"
#include "mesh/EntryPath.h"
#include "mesh/Node.h"
#include "mesh/PeerLinks.h"
#include "mesh/RecordFollower.h"
#include "mesh/RequestQuarantine.h"
#include "mesh/Rollouts.h"
#include "mesh/TargetPath.h"
#include "policy/MemoryBudget.h"

#include "absl/container/btree_set.h"
#include "absl/random/random.h"

#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// The components of a Node and the hooks that connect them.
class Node::Impl {
public:
  Impl(io::EventLoop &Loop, const NodeSettings &Settings, NodePorts Ports,
       telemetry::EventLog &Log);
  ~Impl();

  void start();
  TargetState::ReportResult onTargetReport(const TargetReport &Report);
  [[nodiscard]] bool isReady() const;
  void beginStop(std::function<void()> OnStopped);
  [[nodiscard]] std::string metricsText() const;
  [[nodiscard]] const RequestQuarantine &quarantine() const {
    return *m_Quarantine;
  }
  bool releaseQuarantine(model::Fingerprint Request);

private:
  // NodeSetup.cpp
  void makeQuarantine();
  void makeRollouts();
  void makeEntry();
  void makeTarget();
  void makeLinks();
  void makePeers();
  void makeFollowers();
  [[nodiscard]] RecordFollower::Options followerOptions();
  [[nodiscard]] absl::Duration pollTimeout();

  // NodeImpl.cpp
  void onUp(link::PeerHandle Link, const model::Member &Member);
  void onDown(link::PeerHandle Link, link::LinkEnd Reason);
  void onMessage(link::PeerHandle From, link::wire::MessageUnion &Message);
  void onHeartbeat(link::PeerHandle From, const wire::HeartbeatT &Heartbeat,
                   absl::Time Now);
  void onRolloutMessage(link::PeerHandle From, wire::MessageUnion &Message,
                        absl::Time Now);
  void fillHeartbeat(wire::HeartbeatT &Heartbeat);
  bool forward(const model::Member &To, wire::ForwardT Message);
  void cancel(const model::Member &To, const wire::CancelT &Message);
  void answer(link::PeerHandle To, wire::AnswerT Answer);
  [[nodiscard]] std::vector<PeerTarget>
  targetsOf(const std::string &Service) const;
  [[nodiscard]] wire::TargetNewsT targetStateMessage() const;
  [[nodiscard]] std::string ownVersion() const;
  [[nodiscard]] double ownExposure() const;
  void sendTargetState(absl::Time Now);
  void onOperatorRecord(const StoredRecord &Record, absl::Time Now);
  void setCatalog(Catalog Next, absl::Time Now);
  void onMemberRecord(const StoredRecord &Record, absl::Time Now);
  void writeMember();
  /// The store came back from an older copy: own records may be missing.
  void onNewEra(std::uint64_t Era, absl::Time Now);
  /// \returns whether \p Read holds a newer configuration than \p Known.
  [[nodiscard]] bool isNewerCatalog(const StoredRecord &Known,
                                    const StoredRecord &Read) const;
  [[nodiscard]] wire::SpentNewsT
  spentMessage(const std::vector<policy::ReplicatedRateLimiter::Spent> &Spent,
               absl::Time Now) const;
  void sendSpent(absl::Time Now);
  void onSpent(link::PeerHandle From, const wire::SpentNewsT &Message,
               absl::Time Now);
  void sendRecords(link::PeerHandle To, const wire::StoredRecordsAskT &Request);
  void onRecords(const wire::StoredRecordsT &Message, absl::Time Now);
  void tick();
  void checkStopped(absl::Time Now);

  /// Denotes the daemon itself where a link handle is expected.
  static constexpr link::PeerHandle SelfLink{link::PeerHandle::Invalid - 1};

  io::EventLoop &m_Loop;
  NodeSettings m_Settings;
  NodePorts m_Ports;
  telemetry::EventLog &m_EventLog;
  ComponentLog m_Log;
  absl::BitGen m_Random;
  model::Member m_Self;
  absl::Time m_StartedAt;
  std::uint64_t m_TargetStateSequence = 1;
  CatalogPtr m_Catalog;
  absl::btree_set<std::string> m_WithdrawnDataCenters;
  absl::Time m_NextRecordsRequest = absl::InfinitePast();
  absl::Time m_NextCallsUpdate = absl::InfinitePast();
  PlannedStop m_Stop{m_Settings.m_StopTimeout};
  bool m_HasReadMembers = false;
  bool m_LoggedReady = false;
  std::function<void()> m_OnStopped;

  policy::MemoryBudget m_Memory; ///< Outlives those who hold of it.
  std::unique_ptr<http::LoopClient> m_Client;
  ConnectionLog m_ConnectionLog;
  CallerConnectionLog m_CallerConnectionLog;
  std::unique_ptr<link::LinkNode> m_Links;
  std::unique_ptr<PeerLinks> m_Peers;
  std::unique_ptr<RequestQuarantine> m_Quarantine;
  std::unique_ptr<Rollouts> m_Rollouts; ///< Null: not used.
  std::unique_ptr<TargetPath> m_Target;
  std::unique_ptr<EntryPath> m_Entry;
  std::unique_ptr<RecordFollower> m_Operator;
  std::unique_ptr<RecordFollower> m_Members;
  std::unique_ptr<RecordFollower> m_CrashRecords;
  std::unique_ptr<http::LoopServer> m_Callers;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_NODEIMPL_H
