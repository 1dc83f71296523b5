#include "NodeImpl.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <random>
#include <utility>

namespace knapweedloft::mesh {
namespace {

/// Frames carry complete requests and answers.
constexpr std::size_t MaxFrameBytes = 80 << 20;
/// Least bound on messages that are not whole yet.
constexpr std::size_t MinHeldBytes = std::size_t{1} << 20;
/// Share of the file descriptors for callers' connections; connections to the
/// target and links have the rest.
constexpr double CallerDescriptorShare = 0.6;
/// Member records are read again at this interval; new members also show up by
/// the links that they open.
constexpr absl::Duration MembersReadInterval = absl::Minutes(2);
/// If nothing arrives any more on any connection to the store, one of the
/// linked daemons still starts a new poll about this often, detects the fault,
/// and its heartbeats inform the others. A configuration has to take effect
/// within seconds.
constexpr absl::Duration FleetPollInterval = absl::Milliseconds(600);
constexpr absl::Duration MinPollTimeout = absl::Seconds(4);
constexpr absl::Duration MaxPollTimeout =
    absl::Seconds(25); // The store allows 30 s.
/// A crash makes every daemon that misses a link read its record. The pause
/// keeps all daemons together below a thousand reads a second, half of what the
/// store allows, and fleets of up to 2,400 within the 3 s in which they have to
/// know.
constexpr absl::Duration MinCrashPollPause = absl::Seconds(1);
constexpr absl::Duration CrashPollPause = absl::Milliseconds(1);
/// Each of the four levels of a call tree may use a quarter of the retry
/// budget, since the calls of a retried request are retries too.
constexpr double CallTreeLevels = 4;

/// Retry burst of one daemon to one service. The platform's rules allow the
/// whole fleet some dozens of retries beyond the ratio, which 13 to 77 daemons
/// share with the levels above.
constexpr double MaxRetryTokens = 2;

model::Incarnation drawIncarnation() {
  std::random_device Source;
  model::Incarnation Bits = 0;
  while (Bits == 0)
    Bits = (static_cast<std::uint64_t>(Source()) << 32) | Source();
  return Bits;
}

model::Member makeSelf(const NodeSettings &Settings) {
  model::Member Self;
  Self.m_Name = Settings.m_Name;
  Self.m_Incarnation = drawIncarnation();
  Self.m_Link = Settings.m_Link;
  Self.m_Region = Settings.m_Region;
  Self.m_DataCenter = Settings.m_DataCenter;
  Self.m_Service = Settings.m_Service;
  return Self;
}

/// \returns whether an answer may belong to the call with the id \p Tag. A late
/// answer to an earlier call carries the id of that call.
bool isOwnAnswer(const http::HttpResponse &Response, const std::string &Field,
                 const std::string &Tag) {
  const std::string *AnsweredId = http::findHeader(Response.m_Headers, Field);
  return AnsweredId == nullptr || *AnsweredId == Tag;
}

} // namespace

Node::Impl::Impl(io::EventLoop &Loop, const NodeSettings &Settings,
                 NodePorts Ports, telemetry::EventLog &Log)
    : m_Loop(Loop), m_Settings(Settings), m_Ports(std::move(Ports)),
      m_EventLog(Log), m_Log(Log, "node"), m_Self(makeSelf(Settings)),
      m_StartedAt(io::monotonicNow()),
      m_Memory(std::max(m_Settings.m_MemoryBytes / 2, MinHeldBytes)),
      m_ConnectionLog(ComponentLog(Log, "target")),
      m_CallerConnectionLog(ComponentLog(Log, "entry")) {
  m_Client = std::make_unique<http::LoopClient>(
      m_Loop,
      http::LoopClient::Options{
          .m_MaxHeldBytes = std::max<std::size_t>(m_Settings.m_MemoryBytes / 8,
                                                  std::size_t{1} << 20),
          .m_IsOwn =
              [Field = m_Settings.m_HeaderNames.m_CallId](
                  const http::HttpResponse &Response, const std::string &Tag) {
                return isOwnAnswer(Response, Field, Tag);
              },
          .m_IsNamed =
              [Field = m_Settings.m_HeaderNames.m_CallId](
                  const http::HttpResponse &Response) {
                return http::findHeader(Response.m_Headers, Field) != nullptr;
              }});
  makeQuarantine();
  makeRollouts();
  makeTarget();
  makeEntry();
  makePeers();
  makeLinks();
  makeFollowers();
  http::LoopServer::Options Callers;
  Callers.m_At = m_Settings.m_Callers;
  Callers.m_MaxConnections = static_cast<std::size_t>(
      static_cast<double>(m_Settings.m_MaxDescriptors) * CallerDescriptorShare);
  Callers.m_MaxHeldBytes = std::max(m_Settings.m_MemoryBytes / 4, MinHeldBytes);
  Callers.m_Budget = &m_Memory;
  Callers.m_Hooks.m_OnRequest = [this](http::ExchangeId Id,
                                       http::ParsedMessage Message,
                                       const std::string &From) {
    m_Entry->onRequest(Id, std::move(Message), From, io::monotonicNow());
  };
  Callers.m_Hooks.m_OnGone = [this](http::ExchangeId Id,
                                    http::CallerConnectionEnd Why) {
    m_Entry->onConnectionClosed(Id, Why, io::monotonicNow());
  };
  m_Callers = std::make_unique<http::LoopServer>(m_Loop, std::move(Callers));
}

Node::Impl::~Impl() = default;

void Node::Impl::makeQuarantine() {
  RequestQuarantine::Options Options;
  Options.m_Self = m_Self;
  Options.m_Hooks.m_Broadcast = [this](const wire::SuspectsT &Message) {
    for (link::PeerHandle Link : m_Peers->links())
      m_Links->send(Link, Message);
  };
  Options.m_Hooks.m_Send = [this](link::PeerHandle To,
                                  const wire::SuspectsT &Message) {
    m_Links->send(To, Message);
  };
  Options.m_Hooks.m_WriteRecord =
      [this](std::string Value,
             const std::function<void(bool, absl::Time)> &OnDone) {
        StoredRecord Own{.m_Key = m_Self.m_Name, .m_Value = std::move(Value)};
        m_Ports.m_Store.m_Write(m_Ports.m_CrashTopic, Own,
                                [OnDone](StoreOutcome Outcome, absl::Time Now) {
                                  OnDone(Outcome == StoreOutcome::Done, Now);
                                });
      };
  m_Quarantine = std::make_unique<RequestQuarantine>(
      std::move(Options), ComponentLog(m_EventLog, "quarantine"));
}

void Node::Impl::makeRollouts() {
  if (!m_Settings.m_Rollouts)
    return;
  Rollouts::Options Options;
  Options.m_Self = m_Self;
  Options.m_HeaderNames = m_Settings.m_HeaderNames;
  Options.m_Settings = *m_Settings.m_Rollouts;
  Options.m_Ports = m_Ports;
  Options.m_Hooks.m_Peers = [this](absl::Time Now) {
    return m_Peers->rolloutPeers(Now);
  };
  Options.m_Hooks.m_SendNews = [this](link::PeerHandle To,
                                      const wire::RolloutNewsT &News) {
    m_Links->send(To, News);
  };
  Options.m_Hooks.m_SendSample = [this](link::PeerHandle To,
                                        const wire::RolloutSampleT &Sample) {
    m_Links->send(To, Sample);
  };
  Options.m_Hooks.m_FillSample = [this](policy::RolloutSample &Sample,
                                        absl::Time Now) {
    m_Target->fillSample(Sample, Now);
  };
  m_Rollouts = std::make_unique<Rollouts>(std::move(Options),
                                          ComponentLog(m_EventLog, "rollout"));
}

void Node::Impl::makeEntry() {
  EntryPath::Options Options;
  Options.m_Self = m_Self;
  Options.m_SelfAddress = m_Settings.m_Target.m_Address;
  Options.m_HeaderNames = m_Settings.m_HeaderNames;
  Options.m_RetryBudget.m_Ratio = m_Settings.m_RetryRatio / CallTreeLevels;
  Options.m_RetryBudget.m_MaxTokens = MaxRetryTokens;
  Options.m_Hooks.m_Forward = [this](const model::Member &To,
                                     wire::ForwardT Message) {
    return forward(To, std::move(Message));
  };
  Options.m_Hooks.m_Cancel = [this](const model::Member &To,
                                    wire::CancelT Message) {
    cancel(To, Message);
  };
  Options.m_Hooks.m_Answer = [this](http::ExchangeId Id, int Status,
                                    std::string_view Lines,
                                    std::string_view Body) {
    m_Callers->answer(Id, Status, Lines, Body);
  };
  Options.m_Hooks.m_TargetsOf = [this](const std::string &Service) {
    return targetsOf(Service);
  };
  Options.m_Hooks.m_RouteRunningUntil = [this](absl::Time End) {
    return m_Target->routeRunningUntil(End);
  };
  Options.m_Leave = m_Settings.m_Leave;
  Options.m_Spill = m_Settings.m_Spill;
  if (Options.m_Leave == policy::LeaveRule::Auto)
    Options.m_Hooks.m_HasCrossedUntil = [this](absl::Time End) {
      return m_Target->hasCrossedUntil(End);
    };
  Options.m_Hooks.m_Judge = [this](model::Fingerprint Request, absl::Time Now) {
    return m_Quarantine->judge(Request, Now);
  };
  Options.m_Hooks.m_DescribeCrashes = [this](model::Fingerprint Request,
                                             absl::Time Now) {
    return m_Quarantine->describeCrashes(Request, Now);
  };
  m_Entry = std::make_unique<EntryPath>(std::move(Options),
                                        ComponentLog(m_EventLog, "entry"));
}

void Node::Impl::makeTarget() {
  TargetPath::Options Options;
  Options.m_Self = m_Self.m_Incarnation;
  Options.m_DataCenter = m_Settings.m_DataCenter;
  Options.m_Service = m_Settings.m_Service;
  Options.m_At = m_Settings.m_Target;
  Options.m_HeaderNames = m_Settings.m_HeaderNames;
  Options.m_IsRestart = m_Settings.m_IsRestart;
  Options.m_ProcessStart = absl::Now();
  Options.m_Hooks.m_UnixNow = [] { return absl::Now(); };
  Options.m_Rollout = m_Rollouts ? &m_Rollouts->target() : nullptr;
  Options.m_Hooks.m_Answer = [this](link::PeerHandle To, wire::AnswerT Answer) {
    answer(To, std::move(Answer));
  };
  Options.m_Hooks.m_Call = [this](http::LoopClient::Call Call,
                                  http::LoopClient::Done OnDone) {
    return m_Client->send(std::move(Call), std::move(OnDone));
  };
  Options.m_Hooks.m_CancelCall = [this](http::LoopClient::CallId Call) {
    m_Client->cancel(Call);
  };
  Options.m_Hooks.m_OnChange = [this](absl::Time Now) { sendTargetState(Now); };
  Options.m_Hooks.m_Judge = [this](model::Fingerprint Request, absl::Time Now) {
    return m_Quarantine->judge(Request, Now);
  };
  Options.m_Hooks.m_OnCrash =
      [this](const std::string &Instance,
             std::span<const model::Fingerprint> InFlight, absl::Time Now) {
        m_Quarantine->onTargetCrash(Instance, InFlight, Now);
      };
  Options.m_Hooks.m_OnCompleted = [this](model::Fingerprint Request,
                                         absl::Time Now) {
    m_Quarantine->onCompleted(Request, Now);
  };
  m_Target = std::make_unique<TargetPath>(std::move(Options),
                                          ComponentLog(m_EventLog, "target"),
                                          io::monotonicNow());
}

void Node::Impl::makePeers() {
  PeerLinks::Options Options;
  Options.m_Self = m_Self;
  Options.m_Hooks.m_Connect = [this](const model::Endpoint &To) {
    m_Links->connect(To);
  };
  Options.m_Hooks.m_Close = [this](link::PeerHandle Link) {
    m_Links->close(Link);
  };
  Options.m_Hooks.m_Random = [this] {
    return absl::Uniform(m_Random, 0.0, 1.0);
  };
  m_Peers = std::make_unique<PeerLinks>(std::move(Options),
                                        ComponentLog(m_EventLog, "link"));
}

void Node::Impl::makeLinks() {
  link::LinkNode::Options Options;
  Options.m_Self = m_Self;
  Options.m_MaxFrameBytes = MaxFrameBytes;
  Options.m_MaxQueuedBytes =
      std::max<std::size_t>(m_Settings.m_MemoryBytes / 8, 1 << 20);
  Options.m_MaxHeldBytes = std::max(m_Settings.m_MemoryBytes / 4, MinHeldBytes);
  Options.m_Loop = &m_Loop;
  Options.m_Hooks.m_OnUp = [this](link::PeerHandle Link,
                                  const model::Member &Member) {
    onUp(Link, Member);
  };
  Options.m_Hooks.m_OnDown = [this](link::PeerHandle Link,
                                    link::LinkEnd Reason) {
    onDown(Link, Reason);
  };
  Options.m_Hooks.m_OnMessage = [this](link::PeerHandle From,
                                       wire::MessageUnion &Message) {
    onMessage(From, Message);
  };
  Options.m_Hooks.m_FillHeartbeat = [this](wire::HeartbeatT &Heartbeat) {
    fillHeartbeat(Heartbeat);
  };
  m_Links = std::make_unique<link::LinkNode>(std::move(Options));
}

RecordFollower::Options Node::Impl::followerOptions() {
  RecordFollower::Options Options;
  Options.m_Port = m_Ports.m_Store;
  Options.m_Schedule = [this](std::function<void()> Task,
                              absl::Duration After) {
    m_Loop.post(std::move(Task), After);
  };
  Options.m_Random = [this] { return absl::Uniform(m_Random, 0.0, 1.0); };
  return Options;
}

absl::Duration Node::Impl::pollTimeout() {
  absl::Duration Timeout =
      FleetPollInterval * static_cast<double>(m_Peers->linked() + 1);
  return std::clamp(Timeout, MinPollTimeout, MaxPollTimeout) *
         absl::Uniform(m_Random, 0.5, 1.0);
}

void Node::Impl::makeFollowers() {
  RecordFollower::Options Operator = followerOptions();
  Operator.m_Topic = m_Ports.m_OperatorTopic;
  Operator.m_OnRecord = [this](const StoredRecord &Record, absl::Time Now) {
    onOperatorRecord(Record, Now);
  };
  Operator.m_PollTimeout = [this] { return pollTimeout(); };
  Operator.m_OnNewEra = [this](std::uint64_t Era, absl::Time Now) {
    onNewEra(Era, Now);
  };
  Operator.m_Supersedes = [this](const StoredRecord &Known,
                                 const StoredRecord &Read) {
    return isNewerCatalog(Known, Read);
  };
  Operator.m_OnFirstRead = [this](absl::Time) {
    if (m_Rollouts)
      m_Rollouts->onRecordsRead();
  };
  Operator.m_OnAvailability = [this](bool IsAvailable, absl::Time) {
    m_Log.state(IsAvailable ? "The store is available."
                            : "The store is unavailable.",
                {{"config", m_Catalog ? m_Catalog->version() : 0}});
  };
  m_Operator = std::make_unique<RecordFollower>(std::move(Operator));

  RecordFollower::Options Members = followerOptions();
  Members.m_Topic = m_Ports.m_MemberTopic;
  Members.m_ReadAllInterval = MembersReadInterval;
  // The next read comes later, when all daemons have written theirs again.
  Members.m_HoldTime = MembersReadInterval / 2;
  Members.m_OnRecord = [this](const StoredRecord &Record, absl::Time Now) {
    onMemberRecord(Record, Now);
  };
  Members.m_OnFirstRead = [this](absl::Time Now) {
    m_HasReadMembers = true;
    m_Entry->rates().onMembersKnown(Now, m_Random);
  };
  Members.m_OnAvailability = [](bool, absl::Time) {};
  m_Members = std::make_unique<RecordFollower>(std::move(Members));

  RecordFollower::Options Crashes = followerOptions();
  Crashes.m_Topic = m_Ports.m_CrashTopic;
  // Links carry the same reports; the records are for daemons without a link.
  Crashes.m_IsPollNeeded = [this] {
    return m_Peers->linked() + 1 < m_Peers->daemons();
  };
  Crashes.m_PollPause = [this] {
    absl::Duration Pause =
        CrashPollPause * static_cast<double>(m_Peers->daemons());
    return std::max(MinCrashPollPause, Pause) *
           absl::Uniform(m_Random, 0.75, 1.25);
  };
  Crashes.m_PollTimeout = [this] {
    return MaxPollTimeout * absl::Uniform(m_Random, 0.5, 1.0);
  };
  Crashes.m_OnRecord = [this](const StoredRecord &Record, absl::Time Now) {
    m_Quarantine->onRecord(Record, Now, absl::Now());
  };
  Crashes.m_OnFirstRead = [this](absl::Time) { m_Quarantine->onRecordsRead(); };
  Crashes.m_OnAvailability = [](bool, absl::Time) {};
  m_CrashRecords = std::make_unique<RecordFollower>(std::move(Crashes));
}

} // namespace knapweedloft::mesh
