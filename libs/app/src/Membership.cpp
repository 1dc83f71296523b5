#include "app/Membership.h"

#include "DeathRecords.h"
#include "ProbeHelper.h"
#include "SpreadWire.h"
#include "policy/WatchRing.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/random/uniform_real_distribution.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace knapweedloft::app {
namespace {

/// So many links down within MassWindow are taken for the loss of many members.
constexpr std::size_t MassCount = 2;
constexpr absl::Duration MassWindow = absl::Seconds(5);

/// Appends a second that many members together, and each by itself as far as it
/// knows, may make of a data center's members.
constexpr double MassRate = 100;
constexpr double SingleRate = 400;

constexpr absl::Duration FirstRejoinDelay = absl::Milliseconds(500);
constexpr absl::Duration MostRejoinDelay = absl::Minutes(1);
constexpr absl::Duration RejoinMemory = absl::Minutes(10);

/// News of a suspicion is forgotten unless it is repeated.
constexpr absl::Duration NewsLifetime = absl::Seconds(10);

/// Least time between two updates of the ring.
constexpr absl::Duration UpdateInterval = absl::Milliseconds(500);

} // namespace

class Membership::Impl {
public:
  Impl(Options Settings, absl::BitGenRef Random, Hooks Surroundings)
      : m_Settings(std::move(Settings)), m_Random(Random),
        m_Hooks(std::move(Surroundings)), m_Detector(m_Settings.m_Detector),
        m_Helper({.m_HeardWithin = m_Settings.m_Detector.m_SilentAfter,
                  .m_HelpWithin = m_Settings.m_HelpWithin},
                 helperHooks()),
        m_Deaths(m_Settings.m_RepeatAfter) {}

  void onSnapshot(const state::SnapshotPtr &State, absl::Time Now) {
    m_Next = State;
    if (Now >= m_UpdateAt)
      update(Now);
  }

  void onReceived(const std::string &Name, absl::Time Now) {
    m_Detector.onReceived(Name, Now);
    m_Helper.onReceived(Name, Now);
    m_News.erase(Name);
  }

  void onPeerDown(const std::string &Name, absl::Time Now) {
    m_Up.erase(Name);
    m_Helper.onDown(Name);
    m_DownAt.push_back(Now);
    if (m_DownAt.size() > MassCount)
      m_DownAt.pop_front();
  }

  bool onMessage(const policy::PeerIncarnation &From,
                 const link::wire::MessageUnion &Message, absl::Time Now) {
    if (const link::wire::ProbeAskT *Ask = Message.AsProbeAsk()) {
      m_Helper.onAsk(From.m_Name, *Ask, Now);
      return true;
    }
    if (const link::wire::ProbeAnswerT *Answer = Message.AsProbeAnswer()) {
      m_Detector.onIndirectProbeResult(Answer->name, Answer->is_alive, Now);
      return true;
    }
    if (const link::wire::GossipT *Gossip = Message.AsGossip()) {
      for (const auto &News : Gossip->news)
        onNews(*News, Now);
      return true;
    }
    return false;
  }

  void tick(absl::Time Now) {
    if (m_Next && Now >= m_UpdateAt)
      update(Now);
    m_Helper.tick(Now);
    std::vector<std::string> Helpers(m_Up.begin(), m_Up.end());
    std::sort(Helpers.begin(), Helpers.end());
    for (const policy::DetectorStep &Step :
         m_Detector.tick(Helpers, m_Random, Now))
      take(Step, Now);
    if (!m_Hooks.m_IsFresh(Now))
      return;
    for (state::Leave &Death : m_Deaths.due(Now)) {
      ++m_Counters.m_Deaths;
      m_Hooks.m_Append(std::move(Death));
    }
    if (!m_IsMember && !m_IsLeaving && !m_Next && mayJoin())
      join(Now);
  }

  void join(absl::Time Now) {
    if (m_JoinAt == absl::InfinitePast())
      m_JoinAt = isSiteMissing() ? Now + spreadOver(MassRate) * random() : Now;
    if (Now < m_JoinAt)
      return;
    m_JoinAt = Now + m_Settings.m_RepeatAfter;
    ++m_Counters.m_Joins;
    m_Hooks.m_Append(state::Join{m_Settings.m_Self});
  }

  void leave() {
    m_IsLeaving = true;
    m_Hooks.m_Append(
        state::Leave{.m_Name = m_Settings.m_Self.m_Name,
                     .m_Incarnation = m_Settings.m_Self.m_Incarnation});
  }

  [[nodiscard]] bool isAlive(const std::string &Name) const {
    return m_Detector.livenessOf(Name) == policy::Liveness::Alive &&
           !m_News.contains(Name);
  }

  [[nodiscard]] std::vector<model::Member> wantedLinks() const {
    std::vector<model::Member> Wanted;
    for (const std::string &Name : m_Watched)
      Wanted.push_back(*m_Members.at(Name));
    return Wanted;
  }

  const Options m_Settings;
  absl::BitGenRef m_Random;
  const Hooks m_Hooks;
  Counters m_Counters;
  absl::flat_hash_set<std::string> m_Up;

private:
  ProbeHelper::Hooks helperHooks() {
    ProbeHelper::Hooks Made;
    Made.m_Answer = [this](const std::string &To,
                           link::wire::ProbeAnswerT Answer) {
      m_Hooks.m_Send(To, wrap(std::move(Answer)));
    };
    Made.m_Connect = [this](const std::string &Name) {
      auto Found = m_Members.find(Name);
      if (Found != m_Members.end())
        m_Hooks.m_Connect(*Found->second);
    };
    return Made;
  }

  void update(absl::Time Now) {
    state::SnapshotPtr Former = std::exchange(m_State, std::move(m_Next));
    m_Next.reset();
    m_Deaths.update(*m_State);
    // Both are held, so equal addresses are the same members.
    if (Former && Former->members() == m_State->members())
      return;
    m_UpdateAt = Now + UpdateInterval;
    m_Members.clear();
    std::vector<std::string> Names;
    absl::flat_hash_set<std::string> Sites;
    for (const model::Member *Who : m_State->members()) {
      m_Members.emplace(Who->m_Name, Who);
      Names.push_back(Who->m_Name);
      Sites.insert(Who->m_DataCenter);
    }
    m_SiteSize = Sites.empty() ? 0
                               : static_cast<double>(Names.size()) /
                                     static_cast<double>(Sites.size());
    updateOwn(Now);
    updateRing(Names, Now);
  }

  void updateOwn(absl::Time Now) {
    auto Own = m_Members.find(m_Settings.m_Self.m_Name);
    bool WasMember =
        std::exchange(m_IsMember, Own != m_Members.end() &&
                                      Own->second->m_Incarnation ==
                                          m_Settings.m_Self.m_Incarnation);
    // Many daemons may have been taken for dead, or started, together.
    if (WasMember && !m_IsMember)
      m_JoinAt = Now + spreadOver(MassRate) * random() + rejoinDelay(Now);
  }

  /// A daemon that was taken for dead again and again joins ever more seldom.
  absl::Duration rejoinDelay(absl::Time Now) {
    bool IsRecent = Now < m_TakenForDeadAt + RejoinMemory;
    m_RejoinDelay = IsRecent ? std::min(2 * m_RejoinDelay, MostRejoinDelay)
                             : FirstRejoinDelay;
    m_TakenForDeadAt = Now;
    return m_RejoinDelay * (1 + random());
  }

  /// Who reaches no peer would be taken for dead again.
  [[nodiscard]] bool mayJoin() const {
    return m_TakenForDeadAt == absl::InfinitePast() || !m_Up.empty() ||
           m_Watched.empty();
  }

  void updateRing(std::vector<std::string> Names, absl::Time Now) {
    // Before it joins, a daemon holds the links that it will have as a member.
    if (!m_Members.contains(m_Settings.m_Self.m_Name))
      Names.push_back(m_Settings.m_Self.m_Name);
    policy::WatchRing Ring(Names, m_Settings.m_Watchers);
    m_Watched = Ring.watchedBy(m_Settings.m_Self.m_Name);
    m_FellowWatchers.clear();
    std::vector<policy::PeerIncarnation> Peers;
    for (const std::string &Name : m_Watched) {
      Peers.push_back({Name, m_Members.at(Name)->m_Incarnation});
      m_FellowWatchers.emplace(Name, Ring.watchersOf(Name));
    }
    m_Detector.watch(Peers, Now);
  }

  void take(const policy::DetectorStep &Step, absl::Time Now) {
    using Kind = policy::DetectorStep::Kind;
    switch (Step.m_Kind) {
    case Kind::IndirectProbe:
      return probe(Step);
    case Kind::Suspected:
      ++m_Counters.m_Suspicions;
      return tellWatchers(Step.m_Peer, policy::Liveness::Suspect);
    case Kind::Recovered:
      m_Deaths.onRecovery(Step.m_Peer.m_Name);
      return tellWatchers(Step.m_Peer, policy::Liveness::Alive);
    case Kind::DeclaredDead:
      tellWatchers(Step.m_Peer, policy::Liveness::Dead);
      m_Deaths.onDeath(Step.m_Peer, Now + deathDelay(Step.m_Peer.m_Name, Now));
    }
  }

  void probe(const policy::DetectorStep &Step) {
    link::wire::ProbeAskT Ask;
    Ask.name = Step.m_Peer.m_Name;
    Ask.incarnation = Step.m_Peer.m_Incarnation;
    Ask.sequence = ++m_Counters.m_Probes;
    m_Hooks.m_Send(Step.m_Helper, wrap(std::move(Ask)));
  }

  void tellWatchers(const policy::PeerIncarnation &Peer,
                    policy::Liveness Verdict) {
    for (const std::string &Name : m_FellowWatchers[Peer.m_Name]) {
      if (Name == m_Settings.m_Self.m_Name)
        continue;
      auto News = std::make_unique<link::wire::MemberNewsT>();
      News->name = Peer.m_Name;
      News->incarnation = Peer.m_Incarnation;
      News->verdict = static_cast<std::uint8_t>(Verdict);
      link::wire::GossipT Gossip;
      Gossip.news.push_back(std::move(News));
      ++m_Counters.m_News;
      m_Hooks.m_Send(Name, wrap(std::move(Gossip)));
    }
  }

  void onNews(const link::wire::MemberNewsT &News, absl::Time Now) {
    if (News.verdict == static_cast<std::uint8_t>(policy::Liveness::Alive)) {
      m_News.erase(News.name);
      return;
    }
    // What this daemon hears itself outweighs what others miss.
    if (!m_Up.contains(News.name))
      m_News[News.name] = Now;
    absl::erase_if(m_News, [&](const auto &Old) {
      return Now - Old.second > NewsLifetime;
    });
  }

  absl::Duration deathDelay(const std::string &Name, absl::Time Now) {
    const std::vector<std::string> &Watchers = m_FellowWatchers[Name];
    auto Own =
        std::find(Watchers.begin(), Watchers.end(), m_Settings.m_Self.m_Name);
    absl::Duration Turn =
        m_Settings.m_DeathTurn * static_cast<double>(Own - Watchers.begin());
    double Rate = isMassLoss(Now) ? MassRate : SingleRate;
    return Turn + spreadOver(Rate) * random();
  }

  /// \returns the time over which one append of each member of a data center
  /// makes \p Rate appends a second.
  [[nodiscard]] absl::Duration spreadOver(double Rate) const {
    absl::Duration Span = absl::Seconds(m_SiteSize / Rate);
    return std::min(Span, m_Settings.m_MassSpread);
  }

  /// Whether most of this data center is missing: it may be coming back at
  /// once.
  [[nodiscard]] bool isSiteMissing() const {
    auto Present = std::count_if(
        m_Members.begin(), m_Members.end(), [this](const auto &One) {
          return One.second->m_DataCenter == m_Settings.m_Self.m_DataCenter;
        });
    return static_cast<double>(Present) < m_SiteSize / 2;
  }

  [[nodiscard]] bool isMassLoss(absl::Time Now) const {
    absl::Duration Window = MassWindow + m_Settings.m_Detector.m_SilentAfter +
                            m_Settings.m_Detector.m_SuspicionTimeout;
    return m_DownAt.size() >= MassCount && Now - m_DownAt.front() < Window;
  }

  double random() {
    return absl::uniform_real_distribution<double>(0, 1)(m_Random);
  }

  policy::FailureDetector m_Detector;
  ProbeHelper m_Helper;
  DeathRecords m_Deaths;
  state::SnapshotPtr m_State; ///< m_Members points into it.
  state::SnapshotPtr m_Next;  ///< Not yet taken in.
  absl::Time m_UpdateAt = absl::InfinitePast();
  absl::flat_hash_map<std::string, const model::Member *> m_Members;
  std::vector<std::string> m_Watched;
  absl::flat_hash_map<std::string, std::vector<std::string>> m_FellowWatchers;
  absl::flat_hash_map<std::string, absl::Time> m_News; ///< Of suspicions.
  std::deque<absl::Time> m_DownAt;
  double m_SiteSize = 0; ///< Members of a data center, on average.
  bool m_IsMember = false;
  absl::Time m_TakenForDeadAt = absl::InfinitePast();
  absl::Duration m_RejoinDelay;
  bool m_IsLeaving = false;
  absl::Time m_JoinAt = absl::InfinitePast();
};

Membership::Membership(Options Settings, absl::BitGenRef Random,
                       Hooks Surroundings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings), Random,
                                    std::move(Surroundings))) {}

Membership::~Membership() = default;

void Membership::onSnapshot(const state::SnapshotPtr &State, absl::Time Now) {
  m_Impl->onSnapshot(State, Now);
}

void Membership::onPeerUp(const policy::PeerIncarnation &Peer, absl::Time Now) {
  m_Impl->m_Up.insert(Peer.m_Name);
  m_Impl->onReceived(Peer.m_Name, Now);
}

void Membership::onPeerDown(const std::string &Name, absl::Time Now) {
  m_Impl->onPeerDown(Name, Now);
}

void Membership::onReceived(const std::string &Name, absl::Time Now) {
  m_Impl->onReceived(Name, Now);
}

bool Membership::onMessage(const policy::PeerIncarnation &From,
                           const link::wire::MessageUnion &Message,
                           absl::Time Now) {
  return m_Impl->onMessage(From, Message, Now);
}

void Membership::tick(absl::Time Now) { m_Impl->tick(Now); }

void Membership::leave() { m_Impl->leave(); }

bool Membership::isAlive(const std::string &Name) const {
  return m_Impl->isAlive(Name);
}

std::vector<model::Member> Membership::wantedLinks() const {
  return m_Impl->wantedLinks();
}

Membership::Counters Membership::counters() const { return m_Impl->m_Counters; }

} // namespace knapweedloft::app
