#include "DaemonImpl.h"

#include "app/Clock.h"
#include "app/KeyHomes.h"
#include "app/Log.h"
#include "link/MessageCast.h"

#include "fmt/format.h"

#include <utility>

namespace knapweedloft::app {

namespace {

using link::as;

constexpr Log LinkLog{"link"};

} // namespace

void Daemon::Impl::onUp(link::PeerHandle Link, const model::Member &Who) {
  absl::Time Now = monotonicNow();
  m_Peers->onUp(Link, Who);
  m_Members->onPeerUp({Who.m_Name, Who.m_Incarnation}, Now);
  m_Spread->onPeerUp(Who, Now);
  m_Entry->onPeerUp(Who, Now);
}

void Daemon::Impl::onDown(link::PeerHandle Link, link::LinkEnd Reason) {
  const model::Member *Known = m_Peers->memberOf(Link);
  if (!Known)
    return;
  model::Member Who = *Known;
  LinkLog.info(
      "Link is down.",
      {{"peer", Who.m_Name}, {"reason", link::LinkEndNames.nameOf(Reason)}});
  bool IsLast = m_Peers->onDown(Link);
  absl::Time Now = monotonicNow();
  // What was under way on this link may be lost even if another is up.
  m_Entry->onPeerDown(Who, Now);
  if (!IsLast)
    return;
  m_Members->onPeerDown(Who.m_Name, Now);
  m_Spread->onPeerDown(Who.m_Name, Now);
}

link::PeerHandle Daemon::Impl::linkTo(const std::string &Name) {
  link::PeerHandle Found = m_Peers->find(Name);
  if (Found.isValid())
    return Found;
  state::SnapshotPtr State = m_Replica.store().share();
  if (const model::Member *Who = State->findMember(Name))
    m_Peers->want(*Who, monotonicNow());
  return {};
}

bool Daemon::Impl::forwardTo(const model::Member &To, wire::ForwardT Message) {
  if (To.m_Incarnation != m_Self.m_Incarnation) {
    link::PeerHandle Link = m_Peers->find(To.m_Name, To.m_Incarnation);
    return Link.isValid() && m_Links->send(Link, std::move(Message));
  }
  auto Shared = std::make_shared<wire::ForwardT>(std::move(Message));
  post([this, Shared] {
    state::SnapshotStore::ReadGuard State(m_Replica.store());
    m_Target->onForward(SelfLink, *Shared, *State, monotonicNow());
  });
  return true;
}

void Daemon::Impl::onMessage(link::PeerHandle From,
                             link::wire::MessageUnion &Message) {
  absl::Time Now = monotonicNow();
  const model::Member *Sender = m_Peers->memberOf(From);
  if (!Sender)
    return;
  policy::PeerIncarnation Life{Sender->m_Name, Sender->m_Incarnation};
  m_Members->onReceived(Life.m_Name, Now);
  if (auto *Forward = as<wire::ForwardT>(Message)) {
    state::SnapshotStore::ReadGuard State(m_Replica.store());
    m_Target->onForward(From, *Forward, *State, Now);
  } else if (auto *Answer = as<wire::AnswerT>(Message)) {
    m_Entry->onAnswer(*Answer, Now);
  } else if (auto *Cancel = as<wire::CancelT>(Message)) {
    m_Target->onCancel(fromWire(Cancel->id), Now);
  } else if (auto *Query = as<wire::FateQueryT>(Message)) {
    m_Target->onQuery(From, *Query, Now);
  } else if (auto *Fate = as<wire::FateAnswerT>(Message)) {
    m_Entry->onStatus(*Fate, Now);
  } else if (onSafetyMessage(From, Message, Now)) {
    return;
  } else if (auto *Beat = as<wire::HeartbeatT>(Message)) {
    m_Spread->onHeartbeat(Life.m_Name, *Beat, Now);
  } else if (!m_Rates->onMessage(Life, Message, Now) &&
             !m_Members->onMessage(Life, Message, Now)) {
    m_Spread->onMessage(Life, Message, Now);
  }
}

bool Daemon::Impl::onSafetyMessage(link::PeerHandle From,
                                   link::wire::MessageUnion &Message,
                                   absl::Time Now) {
  if (auto *Store = as<wire::DedupeStoreT>(Message)) {
    m_Links->send(From, m_Target->dedupe().onStore(*Store, Now));
  } else if (auto *Ack = as<wire::DedupeAckT>(Message)) {
    m_Target->dedupe().onAck(*Ack, Now);
  } else if (auto *News = as<wire::SuspectsT>(Message)) {
    m_Target->onSuspects(*News, Now);
    wire::SuspectsAckT Reply;
    Reply.sequence = News->sequence;
    m_Links->send(From, Reply);
  } else if (auto *Heard = as<wire::SuspectsAckT>(Message)) {
    m_Target->onSuspectsAck(Heard->sequence, Now);
  } else {
    return false;
  }
  return true;
}

std::size_t Daemon::Impl::tellSuspects(const wire::SuspectsT &News) {
  std::vector<model::Member> Peers;
  {
    state::SnapshotStore::ReadGuard State(m_Replica.store());
    for (const model::Member *Who : State->membersOf(m_Self.m_Service))
      if (Who->m_Name != m_Self.m_Name && m_Members->isAlive(Who->m_Name))
        Peers.push_back(*Who);
  }
  std::size_t Told = 0;
  for (const model::Member &Peer : Peers)
    if (sendTo(Peer.m_Name, News))
      ++Told;
  return Told;
}

void Daemon::Impl::putAside(model::Fingerprint Print) {
  model::Quarantine Aside;
  Aside.m_Name = fmt::format("{:016x}", Print);
  Aside.m_Fingerprint = Print;
  Aside.m_Reason = "in flight at two deaths of a target";
  Aside.m_Expires =
      wallNow() + policy::PoisonRequestDetector::Options().m_QuarantinePeriod;
  LinkLog.warning("A request is put in quarantine.",
                  {{"fingerprint", Aside.m_Name}});
  state::ResourceChange Change;
  Change.m_ChangeId =
      fmt::format("quarantine-{}-{:x}-{}", Aside.m_Name, m_Self.m_Incarnation,
                  absl::ToUnixMillis(Aside.m_Expires));
  Change.m_Kind = model::ResourceKind::Quarantine;
  Change.m_Name = Aside.m_Name;
  Change.m_Resource = std::move(Aside);
  append(std::move(Change));
}

void Daemon::Impl::handOnIfMembersChanged(const state::Snapshot &State) {
  std::vector<std::pair<std::string, model::Incarnation>> Members;
  for (const model::Member *Who : State.membersOf(m_Self.m_Service))
    Members.emplace_back(Who->m_Name, Who->m_Incarnation);
  if (Members == m_ServiceMembers)
    return;
  m_ServiceMembers = std::move(Members);
  m_Target->dedupe().handOn();
}

std::optional<model::Member>
Daemon::Impl::secondOf(const std::string &Name) const {
  state::SnapshotStore::ReadGuard State(m_Replica.store());
  // By the log alone: a second that is slow or suspect may hold the only
  // memory of a key, and another one would not know.
  auto Homes = homesOf(
      Name, m_Self.m_Service, *State,
      [this](const model::Member &Who) { return Who.m_Name != m_Self.m_Name; },
      1);
  if (Homes.empty())
    return std::nullopt;
  return Homes[0];
}

void Daemon::Impl::fillHeartbeat(link::wire::HeartbeatT &Beat) {
  absl::Time Now = monotonicNow();
  m_Spread->fillHeartbeat(Beat, Now);
  Beat.load = m_Target->load(Now);
}

} // namespace knapweedloft::app
