#include "app/Spread.h"

#include "AppliedReporter.h"
#include "ImageAssembly.h"
#include "RecordFeed.h"
#include "SpreadRoles.h"
#include "SpreadWire.h"
#include "policy/ClockOffset.h"
#include "state/StateError.h"

#include "absl/container/flat_hash_map.h"
#include "absl/random/uniform_real_distribution.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr std::size_t SourceCount = 2;
constexpr absl::Duration AskInterval = absl::Milliseconds(100);
constexpr absl::Duration RolesInterval = absl::Milliseconds(500);

/// A daemon without a fresh stamp follows the log itself: each rank a little
/// after the one before it, so that those below it need not.
constexpr absl::Duration SelfHelpAfter = absl::Seconds(2);
constexpr absl::Duration SelfHelpStep = absl::Milliseconds(20);
constexpr absl::Duration SelfHelpMost = absl::Seconds(2);
constexpr absl::Duration SelfHelpFor = absl::Seconds(10);

/// How old the word of a follower may be on which an outage rests. A follower
/// tries to read at least every 2 s. A keeper may trust an outage for the bound
/// and this after others last spoke of it; see RateService::Options.
constexpr absl::Duration WordHolds = absl::Milliseconds(3500);

/// Reports are forgotten after so many intervals.
constexpr int ReportsKept = 6;

} // namespace

class Spread::Impl {
public:
  Impl(Options Settings, state::StateReplica &Replica, absl::BitGenRef Random,
       Hooks Surroundings)
      : m_Settings(std::move(Settings)), m_Replica(Replica), m_Random(Random),
        m_Hooks(std::move(Surroundings)),
        m_Roles(m_Settings.m_Self, m_Settings.m_Tree),
        m_Feed({.m_SubscribedFor = m_Settings.m_SubscribedFor,
                .m_MaxRecords = m_Settings.m_MaxRecords,
                .m_ChunkBytes = m_Settings.m_ChunkBytes},
               Replica, m_Hooks.m_Send),
        m_Reporter(m_Settings.m_MaxNamed,
                   m_Settings.m_ReportInterval * ReportsKept),
        m_Judge(m_Settings.m_Freshness) {}

  void onSnapshot(const state::SnapshotPtr &State, absl::Time Now) {
    m_Next = State;
    if (Now >= m_RolesAt)
      updateRoles(Now);
    advance(Now);
  }

  void onLogSeen(const platform::LogFreshness &Seen, absl::Time Now) {
    policy::LogStamp Stamp;
    Stamp.m_End = Seen.m_End;
    Stamp.m_IsUnavailable = Seen.m_UnavailableSince.has_value();
    Stamp.m_At = Stamp.m_IsUnavailable ? Now : Seen.m_ReadAt;
    if (Stamp.m_IsUnavailable) {
      Stamp.m_UnavailableSince = *Seen.m_UnavailableSince;
      Stamp.m_End = std::max(Seen.m_End, m_Judge.furthestEnd());
      // Without any word of an end, this state may lack everything.
      Stamp.m_IsPartitioned = Stamp.m_End == 0 || !isAwayEverywhere(Now);
    }
    m_IsLogAway = Stamp.m_IsUnavailable;
    takeStamp(Stamp, Now);
    advance(Now);
  }

  void onPeerUp(const model::Member &Peer, absl::Time Now) {
    m_Peers[Peer.m_Name].m_DataCenter = Peer.m_DataCenter;
    m_RenewAt = Now;
  }

  void onPeerDown(const std::string &Name, absl::Time Now) {
    m_Peers.erase(Name);
    m_Feed.onDown(Name);
    m_RenewAt = std::min(m_RenewAt, Now);
  }

  void onHeartbeat(const std::string &From, const link::wire::HeartbeatT &Beat,
                   absl::Time Now) {
    auto Found = m_Peers.find(From);
    if (Found == m_Peers.end())
      return;
    Peer &Here = Found->second;
    absl::Time SentAt = absl::FromUnixMicros(Beat.now_us);
    Here.m_Clock.onSample(SentAt, Now);
    Here.m_Offset =
        std::max<model::LogOffset>(Here.m_Offset, Beat.applied_offset);
    policy::LogStamp Stamp =
        fromWire(Beat.stamp, Here.m_Clock.delayOf(SentAt, Now), Now);
    std::string Site = m_Roles.followerSite(From);
    if (!Site.empty() && Stamp.m_IsUnavailable)
      m_SiteAwayAt[Site] = Stamp.m_At;
    takeStamp(Stamp, Now);
  }

  void fillHeartbeat(link::wire::HeartbeatT &Beat, absl::Time Now) {
    Beat.now_us = absl::ToUnixMicros(Now);
    Beat.applied_offset = m_Replica.offset();
    Beat.stamp = toWire(m_Judge.newest(), Now);
  }

  bool onMessage(const policy::PeerIncarnation &From,
                 const link::wire::MessageUnion &Message, absl::Time Now) {
    using Kind = link::wire::Message;
    switch (Message.type) {
    case Kind::RecordsAsk:
      m_Feed.onAsk(From.m_Name, *Message.AsRecordsAsk(), stamp(Now), Now);
      return true;
    case Kind::Records:
      onRecords(From.m_Name, *Message.AsRecords(), Now);
      return true;
    case Kind::ImageAsk:
      m_Feed.onImageAsk(From.m_Name);
      return true;
    case Kind::ImageChunk:
      onChunk(From.m_Name, *Message.AsImageChunk(), Now);
      return true;
    case Kind::AppliedReports:
      onReports(From.m_Name, *Message.AsAppliedReports(), Now);
      return true;
    default:
      return false;
    }
  }

  void tick(absl::Time Now) {
    if (m_Next && Now >= m_RolesAt)
      updateRoles(Now);
    m_Feed.push(stamp(Now), Now);
    if (Now >= m_RenewAt)
      renew(Now);
    if (Now >= m_ReportAt)
      report(Now);
    helpSelf(Now);
    widen(Now);
  }

  [[nodiscard]] bool isFollower() const {
    return m_Roles.isFollower() || m_IsHelpingSelf;
  }

  [[nodiscard]] std::vector<model::Member> wantedLinks() const {
    std::vector<std::string> Names = m_Roles.remoteLinks();
    std::size_t UpCount = 0;
    std::size_t Tried = 0;
    for (const std::string &Name : m_Roles.parents()) {
      if (!m_Roles.isFollower() && UpCount >= SourceCount)
        break;
      if (!m_Roles.isFollower() && Tried++ >= m_TryCount)
        break;
      Names.push_back(Name);
      UpCount += m_Peers.contains(Name) ? 1 : 0;
    }
    std::vector<model::Member> Wanted;
    for (const std::string &Name : Names)
      if (const model::Member *Who = m_Roles.find(Name))
        Wanted.push_back(*Who);
    return Wanted;
  }

  [[nodiscard]] policy::FreshnessBounds bounds() const {
    return {.m_Fresh = absl::FromUnixNanos(m_FreshNanos.load()),
            .m_Behind = absl::FromUnixNanos(m_BehindNanos.load()),
            .m_LogUnavailable = absl::FromUnixNanos(m_AwayNanos.load()),
            .m_Partitioned = absl::FromUnixNanos(m_SplitNanos.load())};
  }

  [[nodiscard]] absl::Time peerNow(const std::string &Name,
                                   absl::Time Now) const {
    auto Found = m_Peers.find(Name);
    return Found == m_Peers.end() ? absl::InfiniteFuture()
                                  : Found->second.m_Clock.peerNow(Now);
  }

  [[nodiscard]] Counters counters() const {
    Counters Sum = m_Counters;
    Sum.m_RecordsSent = m_Feed.recordsSent();
    Sum.m_ImagesSent = m_Feed.imagesSent();
    return Sum;
  }

  const Options m_Settings;
  AppliedSummary m_FleetApplied;

private:
  struct Peer {
    std::string m_DataCenter;
    policy::ClockOffset m_Clock;
    model::LogOffset m_Offset = 0;
  };

  [[nodiscard]] link::wire::Stamp stamp(absl::Time Now) const {
    return toWire(m_Judge.newest(), Now);
  }

  [[nodiscard]] AppliedOffset own() const {
    return {m_Settings.m_Self.m_Name, m_Settings.m_Self.m_Incarnation,
            m_Replica.offset()};
  }

  void updateRoles(absl::Time Now) {
    if (m_Roles.update(std::exchange(m_Next, nullptr)))
      m_RolesAt = Now + RolesInterval;
  }

  void takeStamp(const policy::LogStamp &Stamp, absl::Time Now) {
    m_Judge.onStamp(Stamp, m_Replica.offset());
    publishBounds();
    if (Stamp.m_End > m_Replica.offset() && Now >= m_AskAt)
      m_RenewAt = std::min(m_RenewAt, Now + m_Settings.m_ReportInterval);
  }

  void publishBounds() {
    policy::FreshnessBounds Bounds = m_Judge.bounds();
    m_FreshNanos.store(absl::ToUnixNanos(Bounds.m_Fresh));
    m_BehindNanos.store(absl::ToUnixNanos(Bounds.m_Behind));
    m_AwayNanos.store(absl::ToUnixNanos(Bounds.m_LogUnavailable));
    m_SplitNanos.store(absl::ToUnixNanos(Bounds.m_Partitioned));
  }

  /// The replica may have moved on.
  void advance(absl::Time Now) {
    m_Judge.onApplied(m_Replica.offset());
    publishBounds();
    m_Feed.push(stamp(Now), Now);
  }

  /// Whether a follower of every data center, besides this daemon, said
  /// lately that the log is away.
  [[nodiscard]] bool isAwayEverywhere(absl::Time Now) const {
    std::vector<std::string> Sites = m_Roles.otherDataCenters();
    if (m_Roles.hasOtherFollowers())
      Sites.push_back(m_Settings.m_Self.m_DataCenter);
    return std::all_of(Sites.begin(), Sites.end(), [&](const auto &Site) {
      auto Heard = m_SiteAwayAt.find(Site);
      return Heard != m_SiteAwayAt.end() && Now < Heard->second + WordHolds;
    });
  }

  void onRecords(const std::string &From, const link::wire::RecordsT &Records,
                 absl::Time Now) {
    if (Records.records.empty()) {
      if (Records.first_offset > m_Replica.offset())
        askImage(From, Now);
      return;
    }
    state::ApplyResult Result = m_Replica.applyRecords(fromWire(Records));
    if (Result == state::ApplyResult::Gap && Now >= m_AskAt)
      ask(From, Now);
    advance(Now);
  }

  void onChunk(const std::string &From, const link::wire::ImageChunkT &Chunk,
               absl::Time Now) {
    std::optional<std::string> Image = m_Assembly.onChunk(From, Chunk, Now);
    if (!Image)
      return;
    try {
      m_Replica.loadImage(*Image);
    } catch (const state::StateError &) {
      return; // Another source is asked at the next renewal.
    }
    advance(Now);
    m_RenewAt = Now;
  }

  void askImage(const std::string &From, absl::Time Now) {
    if (m_Assembly.isUnderWay(Now))
      return;
    std::string Furthest = From;
    for (const auto &[Name, Here] : m_Peers)
      if (Here.m_Offset > m_Peers[Furthest].m_Offset)
        Furthest = Name;
    m_Assembly.start(Furthest, Now);
    link::wire::ImageAskT Ask;
    Ask.have_offset = m_Replica.offset();
    m_Hooks.m_Send(Furthest, wrap(std::move(Ask)));
  }

  [[nodiscard]] std::vector<std::string> sources() const {
    std::vector<std::string> Names;
    std::size_t Most = SourceCount;
    auto Add = [&](const std::string &Name) {
      bool IsNew = std::find(Names.begin(), Names.end(), Name) == Names.end();
      if (IsNew && Names.size() < Most && m_Peers.contains(Name))
        Names.push_back(Name);
    };
    for (const std::string &Name : m_Roles.parents())
      Add(Name);
    if (m_Roles.isFollower() && m_IsLogAway)
      ++Most; // Another data center may reach the log.
    for (const std::string &Name : m_Roles.remoteLinks())
      Add(Name);
    if (!m_Roles.isMember())
      for (const auto &[Name, Here] : m_Peers)
        Add(Name);
    return Names;
  }

  void renew(absl::Time Now) {
    double Jitter = absl::uniform_real_distribution<double>(0.75, 1)(m_Random);
    m_RenewAt = Now + m_Settings.m_RenewAfter * Jitter;
    for (const std::string &Name : sources())
      ask(Name, Now);
  }

  void ask(const std::string &Name, absl::Time Now) {
    m_AskAt = Now + AskInterval;
    link::wire::RecordsAskT Ask;
    Ask.from = m_Replica.offset();
    ++m_Counters.m_AsksSent;
    m_Hooks.m_Send(Name, wrap(std::move(Ask)));
  }

  /// Those that may take the reports: a follower reports only to followers of
  /// a lower rank.
  [[nodiscard]] std::vector<std::string> reportParents() const {
    std::vector<std::string> Names = m_Roles.parents();
    if (m_Roles.isFollower())
      Names.resize(std::min(Names.size(), m_Roles.rank()));
    return Names;
  }

  /// The first of them that is up. Empty for the head of the data center.
  [[nodiscard]] std::string reportParent() const {
    for (const std::string &Name : reportParents())
      if (m_Peers.contains(Name))
        return Name;
    return {};
  }

  /// \returns whether \p Name could be a parent but is not. What such a peer
  /// sends is the fleet's sum for a former child; as a child's sum it would
  /// come back to it and grow with each report.
  [[nodiscard]] bool isOtherParent(const std::string &Name) const {
    std::vector<std::string> Parents = reportParents();
    return std::find(Parents.begin(), Parents.end(), Name) != Parents.end();
  }

  void onReports(const std::string &From,
                 const link::wire::AppliedReportsT &Reports, absl::Time Now) {
    AppliedSummary Sum = AppliedSummary::fromWire(Reports);
    auto Found = m_Peers.find(From);
    if (Found == m_Peers.end())
      return;
    const std::string &Site = Found->second.m_DataCenter;
    if (Site != m_Settings.m_Self.m_DataCenter)
      m_Reporter.onSite(Site, std::move(Sum), Now);
    else if (From == reportParent())
      m_Reporter.onFleet(std::move(Sum), Now);
    else if (!isOtherParent(From))
      m_Reporter.onChild(From, std::move(Sum), Now);
  }

  void report(absl::Time Now) {
    m_ReportAt = Now + m_Settings.m_ReportInterval;
    std::string Parent = reportParent();
    AppliedSummary Subtree = m_Reporter.subtree(own(), Now);
    std::string Former = std::exchange(m_ReportedTo, Parent);
    if (Former != Parent && m_Peers.contains(Former))
      sendReports(Former, {}); // Or this subtree would count twice.
    if (!Parent.empty())
      sendReports(Parent, Subtree);
    else if (m_Roles.isFollower())
      for (const std::string &Name : m_Roles.remoteLinks())
        sendReports(Name, Subtree);
    m_FleetApplied = m_Reporter.fleet(own(), Parent.empty(), Now);
    for (const std::string &Child : m_Reporter.children())
      if (m_Peers.contains(Child))
        sendReports(Child, m_FleetApplied);
  }

  void sendReports(const std::string &To, const AppliedSummary &Sum) {
    ++m_Counters.m_ReportsSent;
    m_Hooks.m_Send(To, wrap(Sum.toWire()));
  }

  /// Tries one more parent for each second in which too few are up.
  void widen(absl::Time Now) {
    if (sources().size() >= SourceCount || m_RolesAt > Now)
      m_ShortAt = Now;
    m_TryCount = SourceCount + static_cast<std::size_t>(
                                   absl::ToInt64Seconds(Now - m_ShortAt));
  }

  void helpSelf(absl::Time Now) {
    if (m_StartedAt == absl::InfinitePast())
      m_StartedAt = Now;
    absl::Duration Turn = std::min(
        SelfHelpStep * static_cast<double>(m_Roles.rank()), SelfHelpMost);
    absl::Time LastFresh =
        std::max(m_StartedAt, std::max(m_Judge.bounds().m_Fresh,
                                       m_Judge.bounds().m_LogUnavailable) -
                                  m_Settings.m_Freshness.m_Bound);
    if (Now >= LastFresh + SelfHelpAfter + Turn)
      m_HelpUntil = Now + SelfHelpFor;
    m_IsHelpingSelf = Now < m_HelpUntil;
  }

  state::StateReplica &m_Replica;
  absl::BitGenRef m_Random;
  const Hooks m_Hooks;
  SpreadRoles m_Roles;
  RecordFeed m_Feed;
  AppliedReporter m_Reporter;
  ImageAssembly m_Assembly;
  policy::FreshnessTracker m_Judge;
  std::atomic<std::int64_t> m_FreshNanos{0};
  std::atomic<std::int64_t> m_BehindNanos{0};
  std::atomic<std::int64_t> m_AwayNanos{0};
  std::atomic<std::int64_t> m_SplitNanos{0};
  Counters m_Counters;
  state::SnapshotPtr m_Next;
  absl::flat_hash_map<std::string, Peer> m_Peers; ///< With a link that is up.
  absl::flat_hash_map<std::string, absl::Time> m_SiteAwayAt;
  std::string m_ReportedTo;
  bool m_IsLogAway = false;
  bool m_IsHelpingSelf = false;
  absl::Time m_StartedAt = absl::InfinitePast();
  absl::Time m_HelpUntil = absl::InfinitePast();
  absl::Time m_RolesAt = absl::InfinitePast();
  absl::Time m_RenewAt = absl::InfinitePast();
  std::size_t m_TryCount = SourceCount;
  absl::Time m_ShortAt = absl::InfiniteFuture();
  absl::Time m_AskAt = absl::InfinitePast();
  absl::Time m_ReportAt = absl::InfinitePast();
};

Spread::Spread(Options Settings, state::StateReplica &Replica,
               absl::BitGenRef Random, Hooks Surroundings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings), Replica, Random,
                                    std::move(Surroundings))) {}

Spread::~Spread() = default;

void Spread::onSnapshot(const state::SnapshotPtr &State, absl::Time Now) {
  m_Impl->onSnapshot(State, Now);
}

void Spread::onLogSeen(const platform::LogFreshness &Seen, absl::Time Now) {
  m_Impl->onLogSeen(Seen, Now);
}

void Spread::onPeerUp(const model::Member &Peer, absl::Time Now) {
  m_Impl->onPeerUp(Peer, Now);
}

void Spread::onPeerDown(const std::string &Name, absl::Time Now) {
  m_Impl->onPeerDown(Name, Now);
}

void Spread::onHeartbeat(const std::string &From,
                         const link::wire::HeartbeatT &Beat, absl::Time Now) {
  m_Impl->onHeartbeat(From, Beat, Now);
}

void Spread::fillHeartbeat(link::wire::HeartbeatT &Beat, absl::Time Now) {
  m_Impl->fillHeartbeat(Beat, Now);
}

bool Spread::onMessage(const policy::PeerIncarnation &From,
                       const link::wire::MessageUnion &Message,
                       absl::Time Now) {
  return m_Impl->onMessage(From, Message, Now);
}

void Spread::tick(absl::Time Now) { m_Impl->tick(Now); }

bool Spread::isFollower() const { return m_Impl->isFollower(); }

std::vector<model::Member> Spread::wantedLinks() const {
  return m_Impl->wantedLinks();
}

policy::Freshness Spread::freshness(absl::Time Now) const {
  return m_Impl->bounds().freshnessAt(Now);
}

bool Spread::isTrusted(absl::Time Now) const {
  policy::Freshness Verdict = freshness(Now);
  return Verdict == policy::Freshness::Fresh ||
         Verdict == policy::Freshness::LogUnavailable ||
         (Verdict == policy::Freshness::Partitioned &&
          m_Impl->m_Settings.m_Freshness.m_ServesPartitioned);
}

bool Spread::mayHoldLease(absl::Time Now) const {
  policy::Freshness Verdict = freshness(Now);
  return Verdict == policy::Freshness::Fresh ||
         Verdict == policy::Freshness::LogUnavailable;
}

absl::Time Spread::peerNow(const std::string &Name, absl::Time Now) const {
  return m_Impl->peerNow(Name, Now);
}

AppliedSummary Spread::fleetApplied() const { return m_Impl->m_FleetApplied; }

Spread::Counters Spread::counters() const { return m_Impl->counters(); }

} // namespace knapweedloft::app
