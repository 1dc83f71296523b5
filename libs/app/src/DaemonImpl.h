#ifndef KNAPWEEDLOFT_APP_DAEMONIMPL_H
#define KNAPWEEDLOFT_APP_DAEMONIMPL_H

#include "app/ApiAccess.h"
#include "app/CallerHandler.h"
#include "app/ContextTable.h"
#include "app/Daemon.h"
#include "app/EntrySide.h"
#include "app/Membership.h"
#include "app/MetricsText.h"
#include "app/PeerTable.h"
#include "app/RateService.h"
#include "app/RequestMetrics.h"
#include "app/ResourceApi.h"
#include "app/Spread.h"
#include "app/TargetSide.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "link/LinkNode.h"
#include "platform/Appender.h"
#include "platform/ImageWriter.h"
#include "platform/LogFollower.h"
#include "platform/LogService.h"
#include "platform/ReplicaFeed.h"
#include "state/Record.h"
#include "state/StateReplica.h"

#include "absl/container/flat_hash_set.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::app {

/// The components of a daemon and the hooks between them. Members named
/// "link thread" are touched by that thread only.
class Daemon::Impl {
public:
  explicit Impl(const Settings &From);
  ~Impl();

  std::size_t stop();
  [[nodiscard]] model::Endpoint linkEndpoint() const {
    return m_Links->endpoint();
  }
  [[nodiscard]] std::uint16_t apiPort() const { return m_ApiServer->port(); }

private:
  // DaemonSetup.cpp
  void makeSides();
  void makeLinks();
  void makeLog();
  [[nodiscard]] std::unique_ptr<platform::Appender>
  makeAppender(const std::string &ThreadName) const;
  void makeApi();

  // DaemonControl.cpp
  void makeControl();
  void makeRates();
  void append(state::Entry Entry);

  // DaemonServers.cpp
  void makeServers();

  // DaemonLinks.cpp
  void onUp(link::PeerHandle Link, const model::Member &Who);
  void onDown(link::PeerHandle Link, link::LinkEnd Reason);
  void onMessage(link::PeerHandle From, link::wire::MessageUnion &Message);
  [[nodiscard]] link::PeerHandle linkTo(const std::string &Name);
  [[nodiscard]] bool forwardTo(const model::Member &To, wire::ForwardT Message);
  bool onSafetyMessage(link::PeerHandle From, link::wire::MessageUnion &Message,
                       absl::Time Now);
  std::size_t tellSuspects(const wire::SuspectsT &News);
  /// Gives the memory of keys to those that are their seconds now.
  void handOnIfMembersChanged(const state::Snapshot &State);
  void putAside(model::Fingerprint Print);
  [[nodiscard]] std::optional<model::Member>
  secondOf(const std::string &Name) const;
  void fillHeartbeat(link::wire::HeartbeatT &Beat);

  // DaemonTicks.cpp
  void scheduleTick(absl::Time When);
  void tickSides();
  void tickControl();
  /// Corrects the own record, such as when the target has told its service.
  void correctJoin(absl::Time Now);
  void onAnnouncement(const Announcement &News);
  void onAdvance();
  void onLogSeen(const platform::LogFreshness &Seen);
  void wantLinks(absl::Time Now);
  void setPaces(const absl::flat_hash_set<std::string> &Control);
  /// Links to the contacts of the settings while nobody else is known.
  void wantContacts(absl::Time Now);
  /// Chooses between the log and peers as the source of records.
  void chooseSource(absl::Time Now);
  void updateShared(absl::Time Now);

  // DaemonApi.cpp
  void handleApi(http::HttpExchange Exchange);
  /// Answers `/metrics` and `/v1/burn`.
  void answerFigures(http::HttpExchange &Exchange);
  [[nodiscard]] DaemonGauges gauges();
  [[nodiscard]] bool isReady() const;

  template <typename MessageT>
  bool sendTo(const std::string &Name, MessageT Message) {
    link::PeerHandle Link = linkTo(Name);
    return Link.isValid() && m_Links->send(Link, std::move(Message));
  }

  /// Runs \p Task on the link thread.
  void post(std::function<void()> Task) { m_Links->post(std::move(Task)); }

  /// Stands for the daemon itself where a link is asked for.
  static constexpr link::PeerHandle SelfLink{link::PeerHandle::Invalid - 1};

  Settings m_Settings;
  model::Member m_Self; // link thread
  platform::LogService m_Log;
  state::StateReplica m_Replica;
  platform::ReplicaFeed m_Feed{m_Replica};
  const ApiAccess m_ApiAccess;
  RequestMetrics m_Metrics;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<std::size_t> m_InFlight{0}; ///< As of the last tick.

  // Copies of what the link thread owns, for the API's threads.
  mutable absl::Mutex m_SharedMutex;
  DaemonGauges m_Gauges ABSL_GUARDED_BY(m_SharedMutex);
  AppliedSummary m_FleetApplied ABSL_GUARDED_BY(m_SharedMutex);

  // Link thread.
  ContextTable m_Contexts;
  std::unique_ptr<PeerTable> m_Peers;
  std::unique_ptr<TargetSide> m_Target;
  std::unique_ptr<EntrySide> m_Entry;
  std::unique_ptr<Spread> m_Spread;
  std::unique_ptr<Membership> m_Members;
  std::unique_ptr<RateService> m_Rates;
  std::vector<std::pair<std::string, model::Incarnation>> m_ServiceMembers;
  absl::BitGen m_Random;
  absl::Time m_NextTick = absl::InfiniteFuture();
  absl::Time m_NextJoin = absl::InfinitePast();
  absl::Time m_NextWant = absl::InfinitePast();

  std::unique_ptr<CallerHandler> m_Caller;
  std::unique_ptr<ResourceApi> m_Api;
  std::unique_ptr<platform::Appender> m_Appender;
  /// Of its own, so that no claim waits behind the parts of an image.
  std::unique_ptr<platform::Appender> m_ImageAppender;
  std::unique_ptr<platform::ImageWriter> m_Images;
  std::unique_ptr<http::HttpClient> m_Client;
  std::unique_ptr<link::LinkNode> m_Links;
  std::unique_ptr<platform::LogFollower> m_Follower;
  std::unique_ptr<http::HttpServer> m_CallerServer;
  std::unique_ptr<http::HttpServer> m_ApiServer;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_DAEMONIMPL_H
