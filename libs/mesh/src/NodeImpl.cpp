#include "NodeImpl.h"

#include "link/MessageCast.h"
#include "mesh/LogText.h"
#include "mesh/MemberRecord.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace knapweedloft::mesh {
namespace {

using link::as;

/// Ends of queue waits and timeouts are detected at most this late while
/// requests are pending.
constexpr absl::Duration BusyTick = absl::Milliseconds(20);
constexpr absl::Duration IdleTick = absl::Milliseconds(100);
/// Interval at which the routes that the local target calls are updated.
constexpr absl::Duration CallsUpdateInterval = absl::Milliseconds(250);
/// Shortest time between two requests for records to peers.
constexpr absl::Duration RecordsRequestInterval = absl::Milliseconds(200);
/// Mean delay before a failed write of the daemon's member record is retried.
constexpr absl::Duration WriteRetryDelay = absl::Milliseconds(500);
/// Mean interval between the daemons that write their records again after the
/// store has lost them: 100 of at least 400 allowed writes a second.
constexpr absl::Duration RewriteInterval = absl::Milliseconds(10);
constexpr absl::Duration MinRewriteSpread = absl::Seconds(1);
/// A daemon that has its configuration is ready this long after its start, even
/// if it has found no other member.
constexpr absl::Duration ReadyTimeout = absl::Seconds(2);
/// Rates are granted this long after the start even if the member records could
/// not be read: by then the running members have opened links.
constexpr absl::Duration MembersReadTimeout = absl::Seconds(1);

} // namespace

void Node::Impl::start() {
  m_Log.state("Daemon started.", {{"name", m_Self.m_Name},
                                  {"incarnation", m_Self.m_Incarnation},
                                  {"data_center", m_Self.m_DataCenter},
                                  {"service", m_Self.m_Service},
                                  {"restart", m_Settings.m_IsRestart}});
  m_Operator->start(io::monotonicNow());
  m_CrashRecords->start(io::monotonicNow());
  writeMember();
  m_Loop.post(
      [this] { m_Entry->rates().onMembersKnown(io::monotonicNow(), m_Random); },
      MembersReadTimeout);
  tick();
}

void Node::Impl::writeMember() {
  StoredRecord Own;
  Own.m_Key = m_Self.m_Name;
  Own.m_Value = toRecordText(m_Self);
  m_Ports.m_Store.m_Write(
      m_Ports.m_MemberTopic, Own,
      [this](StoreOutcome Outcome, absl::Time /*Now*/) {
        if (Outcome != StoreOutcome::Done) {
          m_Log.state("Writing the member record failed.",
                      {{"how", StoreOutcomeNames.nameOf(Outcome)}});
          m_Loop.post([this] { writeMember(); },
                      WriteRetryDelay *
                          (0.5 + absl::Uniform(m_Random, 0.0, 1.0)));
        }
        // Members are read only after the write: of two daemons that write at
        // once, at least one then reads the record of the other.
        if (Outcome == StoreOutcome::Done || !m_Members->hasRead())
          m_Members->restart();
      });
}

void Node::Impl::onNewEra(std::uint64_t Era, absl::Time Now) {
  // All daemons together stay far below what the store allows.
  absl::Duration Spread =
      std::max(MinRewriteSpread,
               RewriteInterval * static_cast<double>(m_Peers->daemons()));
  absl::Duration After = Spread * absl::Uniform(m_Random, 0.0, 1.0);
  m_Log.state("The store came back from an older copy.",
              {{"era", Era},
               {"config", m_Catalog ? m_Catalog->version() : 0},
               {"rewrite_after", After}});
  m_Loop.post([this] { writeMember(); }, After);
  m_Quarantine->onRecordLost(Now + After);
  if (m_Rollouts)
    m_Rollouts->onNewEra(Era, Now);
  m_CrashRecords->restart();
}

void Node::Impl::onMemberRecord(const StoredRecord &Record, absl::Time Now) {
  if (Record.m_IsDeleted) {
    m_Peers->onMemberRemoved(Record.m_Key);
    return;
  }
  auto Member = memberFromRecord(Record.m_Value);
  if (!Member || Member->m_Name != Record.m_Key) {
    m_Log.state("Skipped an unreadable member record.",
                {{"key", Record.m_Key},
                 {"era", Record.m_Era},
                 {"offset", Record.m_Offset}});
    return;
  }
  m_Peers->onMember(*Member, Now);
  if (Member->m_Name != m_Self.m_Name)
    m_Entry->rates().onMember(Member->m_Name, Now);
}

void Node::Impl::onOperatorRecord(const StoredRecord &Record, absl::Time Now) {
  OperatorRecord Parsed = m_Ports.m_DecodeOperatorRecord(Record);
  if (auto *Next = std::get_if<Catalog>(&Parsed)) {
    setCatalog(std::move(*Next), Now);
  } else if (auto *Withdrawal = std::get_if<DataCenterWithdrawal>(&Parsed)) {
    if (Withdrawal->m_IsWithdrawn)
      m_WithdrawnDataCenters.insert(Withdrawal->m_DataCenter);
    else
      m_WithdrawnDataCenters.erase(Withdrawal->m_DataCenter);
    m_Log.state(Withdrawal->m_IsWithdrawn ? "A data center was withdrawn."
                                          : "A data center was restored.",
                {{"data_center", Withdrawal->m_DataCenter},
                 {"era", Record.m_Era},
                 {"offset", Record.m_Offset}});
    m_Target->setWithdrawn(m_WithdrawnDataCenters.contains(m_Self.m_DataCenter),
                           Now);
  } else if (auto *Order = std::get_if<RolloutOrder>(&Parsed)) {
    if (m_Rollouts)
      m_Rollouts->onOrder(*Order, Record, Now);
  } else if (auto *Unreadable = std::get_if<UnreadableRecord>(&Parsed)) {
    m_Log.state("Skipped an unreadable operator record.",
                {{"key", Record.m_Key},
                 {"era", Record.m_Era},
                 {"offset", Record.m_Offset},
                 {"why", shortReason(Unreadable->m_Reason)}});
    if (m_Rollouts && Unreadable->m_IsRolloutOrder)
      m_Rollouts->onUnreadableOrder();
  }
}

bool Node::Impl::isNewerCatalog(const StoredRecord &Known,
                                const StoredRecord &Read) const {
  OperatorRecord Former = m_Ports.m_DecodeOperatorRecord(Known);
  OperatorRecord Next = m_Ports.m_DecodeOperatorRecord(Read);
  const auto *FormerCatalog = std::get_if<Catalog>(&Former);
  const auto *NextCatalog = std::get_if<Catalog>(&Next);
  return FormerCatalog && NextCatalog &&
         NextCatalog->m_Version > FormerCatalog->m_Version;
}

void Node::Impl::setCatalog(Catalog Next, absl::Time Now) {
  if (m_Catalog && Next.m_Version <= m_Catalog->version())
    return;
  m_Log.state("A configuration took effect.",
              {{"version", Next.m_Version},
               {"routes", Next.m_Routes.size()},
               {"customers", Next.m_Customers.size()}});
  const CatalogLimits &Limits = Next.m_Limits;
  m_Callers->setLimits({.m_MaxHeaderBytes = Limits.m_MaxHeaderBytes,
                        .m_MaxBodyBytes = Limits.m_MaxBodyBytes,
                        .m_HeaderTimeout = Limits.m_HeaderTimeout,
                        .m_IdleTimeout = Limits.m_IdleTimeout});
  m_Catalog = std::make_shared<const CatalogIndex>(std::move(Next));
  m_Entry->setCatalog(m_Catalog, Now);
  m_Target->setCatalog(m_Catalog, Now);
}

void Node::Impl::onUp(link::PeerHandle Link, const model::Member &Member) {
  m_Peers->onUp(Link, Member, io::monotonicNow());
  m_Entry->onTargetsChanged();
  m_Entry->rates().onReachability(Member.m_Name, true, io::monotonicNow());
  wire::TargetNewsT State = targetStateMessage();
  PeerLinks::RememberedTarget Known = m_Peers->rememberedTarget(Link);
  State.remembered_service = Known.m_Service;
  State.remembered_instance = Known.m_Instance;
  m_Links->send(Link, std::move(State));
  m_Links->send(Link, spentMessage(m_Entry->rates().all(), io::monotonicNow()));
  m_Quarantine->onLinkUp(Link, Member.m_Name, io::monotonicNow());
  if (m_Rollouts)
    m_Rollouts->onLinkUp(Link, Member, io::monotonicNow());
}

void Node::Impl::onDown(link::PeerHandle Link, link::LinkEnd Reason) {
  absl::Time Now = io::monotonicNow();
  const model::Member *Known = m_Peers->memberOf(Link);
  model::Incarnation Daemon = Known ? Known->m_Incarnation : 0;
  if (const model::Member *Unreachable = m_Peers->onDown(Link, Reason, Now)) {
    m_Entry->rates().onReachability(Unreachable->m_Name, false, Now);
    if (m_Rollouts)
      m_Rollouts->onDaemonLost(*Unreachable, Now);
  }
  m_Target->onLinkLost(Link, Now);
  m_Entry->onTargetsChanged();
  // Requests in flight on this link may be lost even if another is up.
  if (Known)
    m_Entry->onDaemonLost(Daemon, Now);
}

void Node::Impl::onMessage(link::PeerHandle From, wire::MessageUnion &Message) {
  absl::Time Now = io::monotonicNow();
  if (auto *Forward = as<wire::ForwardT>(Message)) {
    m_Target->onForward(From, *Forward, Now, m_Links->ageOfMessage(From));
  } else if (auto *Answer = as<wire::AnswerT>(Message)) {
    m_Entry->onAnswer(*Answer, Now);
  } else if (auto *Cancel = as<wire::CancelT>(Message)) {
    m_Target->onCancel({Cancel->id.entry(), Cancel->id.sequence()}, Now);
  } else if (auto *Heartbeat = as<wire::HeartbeatT>(Message)) {
    onHeartbeat(From, *Heartbeat, Now);
  } else if (auto *State = as<wire::TargetNewsT>(Message)) {
    m_Peers->onTargetState(From, *State);
    m_Entry->onTargetsChanged();
    if (State->remembered_service == m_Self.m_Service)
      m_Target->onRemembered(State->remembered_instance, Now);
  } else if (auto *Spent = as<wire::SpentNewsT>(Message)) {
    onSpent(From, *Spent, Now);
  } else if (auto *Request = as<wire::StoredRecordsAskT>(Message)) {
    sendRecords(From, *Request);
  } else if (auto *Records = as<wire::StoredRecordsT>(Message)) {
    onRecords(*Records, Now);
  } else if (auto *Suspects = as<wire::SuspectsT>(Message)) {
    m_Quarantine->onMessage(*Suspects, Now);
  } else if (m_Rollouts) {
    onRolloutMessage(From, Message, Now);
  }
}

void Node::Impl::onRolloutMessage(link::PeerHandle From,
                                  wire::MessageUnion &Message, absl::Time Now) {
  const model::Member *Peer = m_Peers->memberOf(From);
  if (auto *News = as<wire::RolloutNewsT>(Message))
    m_Rollouts->onNews(From, *News, Now);
  else if (auto *Sample = as<wire::RolloutSampleT>(Message); Sample && Peer)
    m_Rollouts->onSample(*Peer, *Sample, Now);
}

void Node::Impl::onHeartbeat(link::PeerHandle From,
                             const wire::HeartbeatT &Heartbeat,
                             absl::Time Now) {
  const model::Member *Peer = m_Peers->memberOf(From);
  if (!Peer)
    return;
  m_Entry->onLoad(Peer->m_Service, Peer->m_Incarnation, Heartbeat.load, Now,
                  Heartbeat.pace);
  // The store may be unavailable to this daemon alone.
  std::pair Own(m_Operator->era(), m_Operator->endOffset());
  if (std::pair(Heartbeat.records_era, Heartbeat.records_end) > Own &&
      Now >= m_NextRecordsRequest) {
    m_NextRecordsRequest = Now + RecordsRequestInterval;
    wire::StoredRecordsAskT Request;
    Request.era = m_Operator->era();
    Request.from = m_Operator->endOffset();
    m_Links->send(From, Request);
  }
}

void Node::Impl::fillHeartbeat(wire::HeartbeatT &Heartbeat) {
  Heartbeat.load = m_Target->load();
  Heartbeat.pace = m_Target->pacePercent();
  Heartbeat.records_era = m_Operator->era();
  Heartbeat.records_end = m_Operator->endOffset();
}

wire::SpentNewsT Node::Impl::spentMessage(
    const std::vector<policy::ReplicatedRateLimiter::Spent> &Spent,
    absl::Time Now) const {
  wire::SpentNewsT Message;
  Message.since_start_us =
      static_cast<std::uint64_t>(absl::ToInt64Microseconds(Now - m_StartedAt));
  for (const policy::ReplicatedRateLimiter::Spent &Customer : Spent)
    Message.customers.emplace_back(Customer.m_Customer, Customer.m_Total);
  return Message;
}

void Node::Impl::sendSpent(absl::Time Now) {
  if (!m_Entry->rates().update(Now, m_Random))
    return;
  std::vector<policy::ReplicatedRateLimiter::Spent> Changed =
      m_Entry->rates().takeChanged();
  if (Changed.empty())
    return;
  for (link::PeerHandle Link : m_Peers->links())
    m_Links->send(Link, spentMessage(Changed, Now));
}

void Node::Impl::onSpent(link::PeerHandle From, const wire::SpentNewsT &Message,
                         absl::Time Now) {
  const model::Member *Peer = m_Peers->memberOf(From);
  if (!Peer)
    return;
  policy::ReplicatedRateLimiter::Sender Sender{
      .m_Name = Peer->m_Name,
      .m_Incarnation = Peer->m_Incarnation,
      .m_Started = Now - absl::Microseconds(Message.since_start_us)};
  for (const wire::Spent &Customer : Message.customers)
    m_Entry->rates().onSpent(Sender, Customer.customer(), Customer.total(),
                             Now);
}

void Node::Impl::sendRecords(link::PeerHandle To,
                             const wire::StoredRecordsAskT &Request) {
  wire::StoredRecordsT Message;
  Message.era = m_Operator->era();
  Message.end = m_Operator->endOffset();
  for (StoredRecord &Stored :
       m_Operator->recordsSince(Request.era, Request.from)) {
    auto Record = std::make_unique<wire::StoredRecordT>();
    Record->key = std::move(Stored.m_Key);
    Record->value.assign(Stored.m_Value.begin(), Stored.m_Value.end());
    Record->is_deleted = Stored.m_IsDeleted;
    Record->offset = Stored.m_Offset;
    Record->era = Stored.m_Era;
    Record->is_fresh = Stored.m_IsFresh;
    Message.records.push_back(std::move(Record));
  }
  m_Links->send(To, std::move(Message));
}

void Node::Impl::onRecords(const wire::StoredRecordsT &Message,
                           absl::Time Now) {
  std::vector<StoredRecord> Records;
  for (const auto &Record : Message.records)
    Records.push_back({.m_Key = Record->key,
                       .m_Value = {Record->value.begin(), Record->value.end()},
                       .m_IsDeleted = Record->is_deleted,
                       .m_Era = Record->era,
                       .m_Offset = Record->offset,
                       .m_IsFresh = Record->is_fresh});
  m_Operator->merge(Records, Message.era, Message.end, Now);
  if (m_Rollouts)
    m_Rollouts->onRecordsRead();
}

bool Node::Impl::forward(const model::Member &To, wire::ForwardT Message) {
  if (To.m_Incarnation != m_Self.m_Incarnation) {
    link::PeerHandle Link = m_Peers->linkTo(To);
    return Link.isValid() && m_Links->send(Link, std::move(Message));
  }
  auto Shared = std::make_shared<wire::ForwardT>(std::move(Message));
  m_Loop.post([this, Shared] {
    m_Target->onForward(SelfLink, *Shared, io::monotonicNow());
  });
  return true;
}

void Node::Impl::cancel(const model::Member &To, const wire::CancelT &Message) {
  if (To.m_Incarnation != m_Self.m_Incarnation) {
    link::PeerHandle Link = m_Peers->linkTo(To);
    if (Link.isValid())
      m_Links->send(Link, Message);
    return;
  }
  m_Loop.post([this, Id = Message.id] {
    m_Target->onCancel({Id.entry(), Id.sequence()}, io::monotonicNow());
  });
}

void Node::Impl::answer(link::PeerHandle To, wire::AnswerT Answer) {
  if (To != SelfLink) {
    m_Links->send(To, std::move(Answer));
    return;
  }
  auto Shared = std::make_shared<wire::AnswerT>(std::move(Answer));
  m_Loop.post(
      [this, Shared] { m_Entry->onAnswer(*Shared, io::monotonicNow()); });
}

std::vector<PeerTarget>
Node::Impl::targetsOf(const std::string &Service) const {
  std::vector<PeerTarget> Targets = m_Peers->targetsOf(Service);
  if (Service == m_Self.m_Service)
    Targets.push_back({.m_Member = m_Self,
                       .m_Instance = m_Target->state().instance(),
                       .m_StartTimeMs = m_Target->state().startTimeMs(),
                       .m_IsOpen = m_Target->state().isOpen(),
                       .m_Version = ownVersion(),
                       .m_Exposure = ownExposure(),
                       .m_Calls = m_Entry->calls()});
  for (PeerTarget &Target : Targets)
    if (m_WithdrawnDataCenters.contains(Target.m_Member.m_DataCenter))
      Target.m_IsOpen = false;
  return Targets;
}

std::string Node::Impl::ownVersion() const {
  return m_Rollouts ? m_Rollouts->target().version() : std::string();
}

double Node::Impl::ownExposure() const {
  return m_Rollouts ? m_Rollouts->target().exposure(io::monotonicNow()) : 1;
}

wire::TargetNewsT Node::Impl::targetStateMessage() const {
  wire::TargetNewsT Message;
  Message.sequence = m_TargetStateSequence;
  Message.service = m_Self.m_Service;
  Message.instance = m_Target->state().instance();
  Message.start_time_ms = m_Target->state().startTimeMs();
  Message.is_open = m_Target->state().isOpen();
  Message.is_cold = m_Target->isCold(io::monotonicNow());
  Message.version = ownVersion();
  Message.exposure = static_cast<float>(ownExposure());
  for (const CallEdge &Edge : m_Entry->calls()) {
    auto Call = std::make_unique<wire::CallEdgeT>();
    Call->from_route = Edge.m_From;
    Call->to_route = Edge.m_To;
    Message.calls.push_back(std::move(Call));
  }
  return Message;
}

void Node::Impl::sendTargetState(absl::Time /*Now*/) {
  ++m_TargetStateSequence;
  m_Entry->onTargetsChanged();
  for (link::PeerHandle Link : m_Peers->links())
    m_Links->send(Link, targetStateMessage());
}

TargetState::ReportResult
Node::Impl::onTargetReport(const TargetReport &Report) {
  TargetReport Received = Report;
  Received.m_ReceivedAt = absl::Now();
  return m_Target->onReport(Received, io::monotonicNow());
}

bool Node::Impl::isReady() const {
  if (!m_Catalog || m_Stop.hasBegun())
    return false;
  return m_HasReadMembers || m_Peers->linked() > 0 ||
         io::monotonicNow() - m_StartedAt > ReadyTimeout;
}

void Node::Impl::beginStop(std::function<void()> OnStopped) {
  if (m_Stop.hasBegun())
    return;
  absl::Time Now = io::monotonicNow();
  m_Log.state("Stopping.",
              {{"entry", m_Entry->pending()}, {"target", m_Target->pending()}});
  m_Stop.begin(Now);
  m_OnStopped = std::move(OnStopped);
  m_Target->stop(Now);
  m_Entry->stopAfter(Now + PlannedStop::IntakeDuration, m_Stop.end());
  m_Callers->beginClosing();
}

bool Node::Impl::releaseQuarantine(model::Fingerprint Request) {
  return m_Quarantine->release(Request, io::monotonicNow());
}

void Node::Impl::checkStopped(absl::Time Now) {
  if (!m_Stop.hasBegun() || !m_OnStopped)
    return;
  bool IsIdle = m_Entry->pending() == 0 && m_Target->pending() == 0 &&
                m_Callers->isIdle() && m_Links->unsentBytes() == 0;
  PlannedStop::Step Next = m_Stop.next(IsIdle, m_Callers->connections(), Now);
  if (Next == PlannedStop::Step::EndIdle)
    m_Callers->endIdle();
  if (Next == PlannedStop::Step::EndRequests) {
    m_Log.state("The time to stop is over.", {{"entry", m_Entry->pending()},
                                              {"target", m_Target->pending()}});
    m_Entry->endAll(Now);
  }
  if (Next != PlannedStop::Step::End)
    return;
  m_Log.state("Stopped.", {{"entry", m_Entry->pending()},
                           {"target", m_Target->pending()},
                           {"took", Now - m_Stop.began()}});
  std::exchange(m_OnStopped, nullptr)();
}

void Node::Impl::tick() {
  absl::Time Now = io::monotonicNow();
  m_Entry->tick(Now);
  m_Target->tick(Now);
  if (m_Rollouts)
    m_Rollouts->tick(Now);
  m_Peers->tick(Now);
  m_ConnectionLog.tick(m_Client->counts(), Now);
  m_CallerConnectionLog.tick(m_Callers->counts(), Now);
  sendSpent(Now);
  m_Quarantine->tick(Now, absl::Now());
  if (Now >= m_NextCallsUpdate) {
    m_NextCallsUpdate = Now + CallsUpdateInterval;
    if (m_Entry->updateCalls())
      sendTargetState(Now);
  }
  if (isReady() != m_LoggedReady) {
    m_LoggedReady = !m_LoggedReady;
    m_Log.state(m_LoggedReady ? "Ready." : "Not ready.",
                {{"config", m_Catalog ? m_Catalog->version() : 0},
                 {"peers", m_Peers->linked()},
                 {"members", m_Peers->daemons()}});
  }
  m_EventLog.flush(absl::Now());
  checkStopped(Now);
  bool IsBusy = m_Entry->pending() > 0 || m_Target->pending() > 0;
  m_Loop.post([this] { tick(); }, IsBusy ? BusyTick : IdleTick);
}

} // namespace knapweedloft::mesh
