#include "fakefleet/FakeDaemon.h"

#include "fakefleet/FakeFleet.h"

#include <utility>

namespace knapweedloft::fakefleet {
namespace {

constexpr absl::Duration TickInterval = absl::Milliseconds(50);
constexpr absl::Duration BeatInterval = absl::Milliseconds(500);
constexpr absl::Duration LinkInterval = absl::Milliseconds(250);
constexpr absl::Duration ReadInterval = absl::Milliseconds(200);
constexpr absl::Duration SilentAfter = absl::Milliseconds(1500);
constexpr absl::Duration UnwantedFor = absl::Seconds(10);
constexpr absl::Duration WantedFor = absl::Seconds(30);
constexpr std::size_t MaxRead = 1024;

} // namespace

FakeDaemon::FakeDaemon(FakeFleet &Fleet, model::Member Self, double Drift,
                       absl::Duration ClockOffset)
    : m_Fleet(Fleet), m_Self(std::move(Self)), m_Drift(Drift),
      m_ClockOffset(ClockOffset), m_Random(m_Self.m_Incarnation) {
  auto Members = Fleet.options().m_Members;
  Members.m_Self = m_Self;
  app::Membership::Hooks MemberHooks;
  MemberHooks.m_Send = [this](const std::string &To,
                              link::wire::MessageUnion Message) {
    return send(To, std::move(Message));
  };
  MemberHooks.m_Connect = [this](const model::Member &Peer) {
    m_Fleet.connect(*this, Peer.m_Name);
  };
  MemberHooks.m_Append = [this](const state::Entry &Entry) {
    m_Fleet.appendFrom(*this, Entry);
  };
  MemberHooks.m_IsFresh = [this](absl::Time Now) {
    return m_Spread->freshness(Now) == policy::Freshness::Fresh;
  };
  m_Members = std::make_unique<app::Membership>(Members, m_Random,
                                                std::move(MemberHooks));
  auto Spread = Fleet.options().m_Spread;
  Spread.m_Self = m_Self;
  app::Spread::Hooks SpreadHooks;
  SpreadHooks.m_Send = [this](const std::string &To,
                              link::wire::MessageUnion Message) {
    return send(To, std::move(Message));
  };
  m_Spread = std::make_unique<app::Spread>(Spread, m_Replica, m_Random,
                                           std::move(SpreadHooks));
  auto Rates = Fleet.options().m_Rates;
  Rates.m_Self = m_Self;
  app::RateService::Hooks RateHooks;
  RateHooks.m_SendAsk = [this](const std::string &To,
                               link::wire::GrantAskT Ask) {
    link::wire::MessageUnion Message;
    Message.Set(std::move(Ask));
    // A link that asks go over is kept.
    m_Wanted[To] = m_Fleet.now() + WantedFor;
    if (send(To, std::move(Message)))
      return true;
    m_Fleet.connect(*this, To);
    return false;
  };
  RateHooks.m_SendGrant = [this](const std::string &To,
                                 link::wire::GrantT Grant) {
    link::wire::MessageUnion Message;
    Message.Set(std::move(Grant));
    return send(To, std::move(Message));
  };
  RateHooks.m_Post = [this](const std::function<void(absl::Time)> &Task,
                            absl::Duration Delay) {
    m_Fleet.queue().after(
        Delay, [this, Task] { onDaemon([this, Task] { Task(clock()); }); });
  };
  RateHooks.m_Claim = [this](state::KeeperClaim Claim) {
    m_Fleet.appendFrom(*this, state::Entry(std::move(Claim)));
  };
  RateHooks.m_MayKeep = [this](absl::Time Now) {
    return m_Spread->mayHoldLease(Now);
  };
  RateHooks.m_IsAlive = [this](const std::string &Name) {
    return m_Members->isAlive(Name);
  };
  m_Rates = std::make_unique<app::RateService>(Rates, m_Replica.store(),
                                               std::move(RateHooks));
}

absl::Time FakeDaemon::clock() const {
  absl::Duration Age = m_Fleet.now() - absl::UnixEpoch();
  return absl::UnixEpoch() + m_ClockOffset + Age * (1 + m_Drift);
}

void FakeDaemon::onDaemon(std::function<void()> Task) {
  if (!m_IsUp)
    return;
  if (!isPaused())
    return Task();
  m_Fleet.queue().at(m_PausedUntil,
                     [this, Task = std::move(Task)] { onDaemon(Task); });
}

bool FakeDaemon::isPaused() const { return m_Fleet.now() < m_PausedUntil; }

void FakeDaemon::start() {
  every(TickInterval, [this] { tick(); });
  every(BeatInterval, [this] { beat(); });
  every(LinkInterval, [this] { reconcile(); });
  every(ReadInterval, [this] { readLog(); });
}

void FakeDaemon::every(absl::Duration Interval,
                       const std::function<void()> &Task) {
  absl::Duration First =
      Interval * std::uniform_real_distribution<double>(0, 1)(m_Random);
  auto Again = std::make_shared<std::function<void()>>();
  *Again = [this, Interval, Task, Again] {
    Task();
    m_Fleet.queue().after(Interval, [this, Again] { onDaemon(*Again); });
  };
  m_Fleet.queue().after(First, [this, Again] { onDaemon(*Again); });
}

void FakeDaemon::tick() {
  absl::Time Now = clock();
  m_Members->tick(Now);
  m_Spread->tick(Now);
  if (m_Fleet.options().m_HasRates)
    m_Rates->tick(Now);
}

void FakeDaemon::beat() {
  std::vector<std::string> Names;
  for (const auto &[Name, Here] : m_Links)
    Names.push_back(Name);
  for (const std::string &Name : Names) {
    link::wire::HeartbeatT Beat;
    m_Spread->fillHeartbeat(Beat, clock());
    link::wire::MessageUnion Message;
    Message.Set(std::move(Beat));
    send(Name, std::move(Message));
  }
}

void FakeDaemon::reconcile() {
  std::vector<std::string> Silent;
  for (const auto &[Name, Here] : m_Links)
    if (m_Fleet.now() - Here.m_HeardAt > SilentAfter)
      Silent.push_back(Name);
  for (const std::string &Name : Silent)
    onLinkDown(Name);
  std::vector<std::string> Wanted;
  for (const model::Member &Peer : m_Members->wantedLinks())
    Wanted.push_back(Peer.m_Name);
  for (const model::Member &Peer : m_Spread->wantedLinks())
    Wanted.push_back(Peer.m_Name);
  for (const auto &[Name, Until] : m_Wanted)
    if (m_Fleet.now() < Until)
      Wanted.push_back(Name);
  for (const std::string &Name : Wanted) {
    m_Fleet.connect(*this, Name);
    if (auto Found = m_Links.find(Name); Found != m_Links.end())
      Found->second.m_WantedAt = m_Fleet.now();
  }
  dropUnwanted();
}

void FakeDaemon::dropUnwanted() {
  std::vector<std::string> Unwanted;
  for (const auto &[Name, Here] : m_Links)
    if (!wants(Name) && !m_Fleet.daemon(Name).wants(m_Self.m_Name))
      Unwanted.push_back(Name);
  for (const std::string &Name : Unwanted) {
    onLinkDown(Name);
    FakeDaemon &Peer = m_Fleet.daemon(Name);
    Peer.onDaemon([&Peer, Own = m_Self.m_Name] { Peer.onLinkDown(Own); });
  }
}

bool FakeDaemon::wants(const std::string &Peer) const {
  auto Found = m_Links.find(Peer);
  return Found != m_Links.end() &&
         m_Fleet.now() < Found->second.m_WantedAt + UnwantedFor;
}

void FakeDaemon::readLog() {
  if (!m_Spread->isFollower() || m_IsReading)
    return;
  m_IsReading = true;
  ++m_LogReads;
  absl::Time SentAt = clock();
  m_Fleet.queue().after(m_Fleet.log().m_Latency, [this, SentAt] {
    onDaemon([this, SentAt] { takeRead(SentAt); });
  });
}

void FakeDaemon::takeRead(absl::Time SentAt) {
  m_IsReading = false;
  platform::LogFreshness Seen{.m_End = m_End, .m_ReadAt = SentAt};
  FakeLog &Log = m_Fleet.log();
  if (Log.m_IsUnavailable || !m_ReachesLog) {
    if (m_UnavailableSince == absl::InfinitePast())
      m_UnavailableSince = clock();
    Seen.m_UnavailableSince = m_UnavailableSince;
    m_Spread->onLogSeen(Seen, clock());
    return;
  }
  m_UnavailableSince = absl::InfinitePast();
  std::vector<state::StoredRecord> Records;
  for (model::LogOffset Offset = m_Replica.offset();
       Offset < Log.m_Records.size() && Records.size() < MaxRead; ++Offset)
    Records.push_back({Offset, Log.m_Records[Offset]});
  m_Replica.applyRecords(Records);
  m_End = Seen.m_End = Log.m_Records.size();
  m_Spread->onLogSeen(Seen, clock());
  advance();
}

void FakeDaemon::advance() {
  state::SnapshotPtr State = m_Replica.store().share();
  m_Spread->onSnapshot(State, clock());
  m_Members->onSnapshot(State, clock());
  m_Rates->onSnapshot(clock());
}

void FakeDaemon::onLinkUp(const model::Member &Peer) {
  m_Links[Peer.m_Name] = {Peer.m_Incarnation, m_Fleet.now(), m_Fleet.now()};
  m_Members->onPeerUp({Peer.m_Name, Peer.m_Incarnation}, clock());
  m_Spread->onPeerUp(Peer, clock());
}

void FakeDaemon::onLinkDown(const std::string &Peer) {
  if (m_Links.erase(Peer) == 0)
    return;
  m_Members->onPeerDown(Peer, clock());
  m_Spread->onPeerDown(Peer, clock());
}

void FakeDaemon::onMessage(const policy::PeerIncarnation &From,
                           const link::wire::MessageUnion &Message) {
  auto Found = m_Links.find(From.m_Name);
  if (Found == m_Links.end() || Found->second.m_Life != From.m_Incarnation)
    return;
  Found->second.m_HeardAt = m_Fleet.now();
  m_Members->onReceived(From.m_Name, clock());
  if (const link::wire::HeartbeatT *Beat = Message.AsHeartbeat()) {
    m_Spread->onHeartbeat(From.m_Name, *Beat, clock());
    return;
  }
  model::LogOffset Before = m_Replica.offset();
  m_Members->onMessage(From, Message, clock());
  m_Spread->onMessage(From, Message, clock());
  if (m_Replica.offset() != Before)
    advance();
  if (m_Fleet.options().m_HasRates)
    m_Rates->onMessage(From, Message, clock());
}

bool FakeDaemon::hasLink(const std::string &Peer,
                         model::Incarnation Life) const {
  auto Found = m_Links.find(Peer);
  return Found != m_Links.end() && Found->second.m_Life == Life;
}

bool FakeDaemon::send(const std::string &To, link::wire::MessageUnion Message) {
  if (m_Fleet.send(*this, To, std::move(Message)))
    return true;
  m_Wanted[To] = m_Fleet.now() + WantedFor;
  return false;
}

} // namespace knapweedloft::fakefleet
