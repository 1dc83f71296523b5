#include "DaemonImpl.h"

#include "app/Clock.h"
#include "state/RecordCodec.h"

#include "absl/container/flat_hash_set.h"

#include <algorithm>
#include <string>

namespace knapweedloft::app {
namespace {

constexpr absl::Duration ControlInterval = absl::Milliseconds(50);
constexpr absl::Duration JoinInterval = absl::Seconds(2);
constexpr absl::Duration WantInterval = absl::Milliseconds(250);

} // namespace

void Daemon::Impl::scheduleTick(absl::Time When) {
  if (When >= m_NextTick)
    return;
  m_NextTick = When;
  absl::Duration Delay = std::max(When - monotonicNow(), absl::ZeroDuration());
  m_Links->post(
      [this, When] {
        if (m_NextTick != When)
          return; // An earlier tick has taken its place.
        m_NextTick = absl::InfiniteFuture();
        tickSides();
      },
      Delay);
}

void Daemon::Impl::tickSides() {
  absl::Time Now = monotonicNow();
  m_Entry->tick(Now);
  m_Target->tick(Now);
}

void Daemon::Impl::tickControl() {
  absl::Time Now = monotonicNow();
  tickSides();
  m_Members->tick(Now);
  m_Spread->tick(Now);
  m_Rates->tick(Now);
  correctJoin(Now);
  wantLinks(Now);
  chooseSource(Now);
  m_InFlight = m_Entry->pending() + m_Target->pending();
  updateShared(Now);
  m_Links->post([this] { tickControl(); }, ControlInterval);
}

void Daemon::Impl::chooseSource(absl::Time Now) {
  // Beside the chosen few, a daemon reads the log itself while it has yet to
  // join, and when no peer tells it how fresh its state is. An outage that
  // peers report is no reason: thousands would fall upon the log at its end.
  bool IsMember = false;
  {
    state::SnapshotStore::ReadGuard State(m_Replica.store());
    const model::Member *Present = State->findMember(m_Self.m_Name);
    IsMember = Present && Present->m_Incarnation == m_Self.m_Incarnation;
  }
  bool Reads = !IsMember || m_Spread->isFollower() ||
               m_Spread->freshness(Now) == policy::Freshness::Isolated;
  m_Follower->setResting(!Reads);
}

void Daemon::Impl::updateShared(absl::Time Now) {
  wire::Load Load = m_Target->load(Now);
  absl::MutexLock Lock(&m_SharedMutex);
  m_Gauges.m_Links = m_Peers->links().size();
  m_Gauges.m_PendingEntry = m_Entry->pending();
  m_Gauges.m_PendingTarget = m_Target->pending();
  m_Gauges.m_Limit = Load.limit();
  m_Gauges.m_ShedLevel = Load.shed_level();
  m_Gauges.m_IsRamping = Load.is_ramping();
  m_FleetApplied = m_Spread->fleetApplied();
}

void Daemon::Impl::wantLinks(absl::Time Now) {
  if (m_IsStopping || Now < m_NextWant)
    return;
  m_NextWant = Now + WantInterval;
  // Membership does not tell when a judgement changes; the targets of a
  // service are few and looked at again with its next request.
  m_Entry->onLivenessChange();
  absl::flat_hash_set<std::string> Control;
  for (const auto &Wanted :
       {m_Members->wantedLinks(), m_Spread->wantedLinks()}) {
    for (const model::Member &Peer : Wanted) {
      m_Peers->want(Peer, Now);
      Control.insert(Peer.m_Name);
    }
  }
  setPaces(Control);
  wantContacts(Now);
}

void Daemon::Impl::setPaces(const absl::flat_hash_set<std::string> &Control) {
  // Links that only carry requests are many, and brisk heartbeats on all of
  // them would cost more than everything else.
  for (link::PeerHandle Link : m_Peers->links()) {
    const model::Member *Peer = m_Peers->memberOf(Link);
    bool IsControl = Peer && Control.contains(Peer->m_Name);
    m_Links->setPace(Link, IsControl ? link::LinkPace::Brisk
                                     : link::LinkPace::Relaxed);
  }
}

void Daemon::Impl::wantContacts(absl::Time Now) {
  if (!m_Peers->links().empty())
    return;
  {
    state::SnapshotStore::ReadGuard State(m_Replica.store());
    if (!State->members().empty())
      return;
  }
  for (const model::Endpoint &At : m_Settings.m_Link.m_Contacts)
    m_Peers->want({.m_Link = At}, Now);
}

void Daemon::Impl::correctJoin(absl::Time Now) {
  if (m_IsStopping || Now < m_NextJoin)
    return;
  {
    state::SnapshotStore::ReadGuard State(m_Replica.store());
    const model::Member *Present = State->findMember(m_Self.m_Name);
    if (!Present || Present->m_Incarnation != m_Self.m_Incarnation ||
        *Present == m_Self)
      return;
  }
  m_NextJoin = Now + JoinInterval;
  append(state::Join{m_Self});
}

void Daemon::Impl::onAnnouncement(const Announcement &News) {
  absl::Time Now = monotonicNow();
  m_Target->onAnnouncement(News, Now);
  if (m_Self.m_Service == News.m_Service)
    return;
  m_Self.m_Service = News.m_Service;
  m_NextJoin = absl::InfinitePast();
  correctJoin(Now);
}

void Daemon::Impl::onAdvance() {
  post([this] {
    absl::Time Now = monotonicNow();
    state::SnapshotPtr State = m_Replica.store().share();
    m_Members->onSnapshot(State, Now);
    m_Spread->onSnapshot(State, Now);
    handOnIfMembersChanged(*State);
    m_Rates->onSnapshot(Now);
  });
}

} // namespace knapweedloft::app
