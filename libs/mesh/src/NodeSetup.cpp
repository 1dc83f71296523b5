#include "NodeImpl.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <random>
#include <utility>

namespace knapweedloft::mesh {
namespace {

/// Frames carry whole requests and answers.
constexpr std::size_t MaxFrameBytes = 80 << 20;
/// Share of the descriptors for callers' connections; targets and links have
/// the rest.
constexpr double CallerDescriptors = 0.6;
/// Members are read again so often, besides the links that newcomers open.
constexpr absl::Duration MembersEvery = absl::Minutes(2);
/// If every connection to the store went silent at once, some daemon of those
/// that are linked begins another poll about so often, finds it, and tells the
/// others by its heartbeats. Configuration has to be in force within seconds.
constexpr absl::Duration PollEvery = absl::Milliseconds(600);
constexpr absl::Duration LeastPollWait = absl::Seconds(4);
constexpr absl::Duration MostPollWait = absl::Seconds(25); // The store's is 30.
/// Of the allowed repeats a call tree four deep may use a quarter at each
/// level, since the calls of a repeated run are repeats too.
constexpr double RepeatLevels = 4;

/// Of one daemon to one service. The rules grant the whole fleet some dozens
/// beyond the ratio, which 13 to 77 daemons share with the levels above.
constexpr double MostRepeatsAtOnce = 2;

model::Incarnation drawIncarnation() {
  std::random_device Source;
  model::Incarnation Bits = 0;
  while (Bits == 0)
    Bits = (static_cast<std::uint64_t>(Source()) << 32) | Source();
  return Bits;
}

model::Member selfOf(const NodeSettings &Settings) {
  model::Member Self;
  Self.m_Name = Settings.m_Name;
  Self.m_Incarnation = drawIncarnation();
  Self.m_Link = Settings.m_Link;
  Self.m_Region = Settings.m_Region;
  Self.m_DataCenter = Settings.m_DataCenter;
  Self.m_Service = Settings.m_Service;
  return Self;
}

/// \returns whether an answer is that of the call named \p Tag: a late one of
/// an earlier call names that.
bool isOwnAnswer(const http::HttpResponse &Response, const std::string &Field,
                 const std::string &Tag) {
  const std::string *Told = http::findHeader(Response.m_Headers, Field);
  return Told == nullptr || *Told == Tag;
}

} // namespace

Node::Impl::Impl(io::EventLoop &Loop, const NodeSettings &Settings,
                 NodePorts Ports, telemetry::EventLog &Log)
    : m_Loop(Loop), m_Settings(Settings), m_Ports(std::move(Ports)),
      m_EventLog(Log), m_Log(Log, "node"), m_Self(selfOf(Settings)),
      m_Started(io::monotonicNow()) {
  m_Client = std::make_unique<http::LoopClient>(
      m_Loop, http::LoopClient::Options{
                  .m_IsOwn = [Field = m_Settings.m_Dialect.m_CallId](
                                 const http::HttpResponse &Response,
                                 const std::string &Tag) {
                    return isOwnAnswer(Response, Field, Tag);
                  }});
  makeTarget();
  makeEntry();
  makePeers();
  makeLinks();
  makeFollowers();
  http::LoopServer::Options Callers;
  Callers.m_At = m_Settings.m_Callers;
  Callers.m_MaxConnections = static_cast<std::size_t>(
      static_cast<double>(m_Settings.m_MaxDescriptors) * CallerDescriptors);
  Callers.m_Hooks.m_OnRequest = [this](http::ExchangeId Id,
                                       http::ParsedMessage Message,
                                       const std::string &From) {
    m_Entry->onRequest(Id, std::move(Message), From, io::monotonicNow());
  };
  Callers.m_Hooks.m_OnGone = [this](http::ExchangeId Id) {
    m_Entry->onGone(Id, io::monotonicNow());
  };
  m_Callers = std::make_unique<http::LoopServer>(m_Loop, std::move(Callers));
}

Node::Impl::~Impl() = default;

void Node::Impl::makeEntry() {
  EntryPath::Options Options;
  Options.m_Self = m_Self;
  Options.m_SelfAddress = m_Settings.m_Target.m_Address;
  Options.m_Dialect = m_Settings.m_Dialect;
  Options.m_Repeats.m_Ratio = m_Settings.m_RepeatRatio / RepeatLevels;
  Options.m_Repeats.m_MaxTokens = MostRepeatsAtOnce;
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
  m_Entry = std::make_unique<EntryPath>(std::move(Options),
                                        Reporter(m_EventLog, "entry"));
}

void Node::Impl::makeTarget() {
  TargetPath::Options Options;
  Options.m_Self = m_Self.m_Incarnation;
  Options.m_DataCenter = m_Settings.m_DataCenter;
  Options.m_Service = m_Settings.m_Service;
  Options.m_At = m_Settings.m_Target;
  Options.m_Dialect = m_Settings.m_Dialect;
  Options.m_IsRestart = m_Settings.m_IsRestart;
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
  Options.m_Hooks.m_OnChange = [this](absl::Time Now) { tellNews(Now); };
  m_Target = std::make_unique<TargetPath>(
      std::move(Options), Reporter(m_EventLog, "target"), io::monotonicNow());
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
                                        Reporter(m_EventLog, "link"));
}

void Node::Impl::makeLinks() {
  link::LinkNode::Options Options;
  Options.m_Self = m_Self;
  Options.m_MaxFrameBytes = MaxFrameBytes;
  Options.m_MaxQueuedBytes =
      std::max<std::size_t>(m_Settings.m_MemoryBytes / 8, 1 << 20);
  Options.m_Loop = &m_Loop;
  Options.m_Hooks.m_OnUp = [this](link::PeerHandle Link,
                                  const model::Member &Who) {
    onUp(Link, Who);
  };
  Options.m_Hooks.m_OnDown = [this](link::PeerHandle Link,
                                    link::LinkEnd Reason) {
    onDown(Link, Reason);
  };
  Options.m_Hooks.m_OnMessage = [this](link::PeerHandle From,
                                       wire::MessageUnion &Message) {
    onMessage(From, Message);
  };
  Options.m_Hooks.m_FillHeartbeat = [this](wire::HeartbeatT &Beat) {
    fillHeartbeat(Beat);
  };
  m_Links = std::make_unique<link::LinkNode>(std::move(Options));
}

RecordFollower::Options Node::Impl::followerOptions() {
  RecordFollower::Options Options;
  Options.m_Port = m_Ports.m_Store;
  Options.m_Later = [this](std::function<void()> Task, absl::Duration After) {
    m_Loop.post(std::move(Task), After);
  };
  Options.m_Random = [this] { return absl::Uniform(m_Random, 0.0, 1.0); };
  return Options;
}

absl::Duration Node::Impl::pollWait() {
  absl::Duration Even = PollEvery * static_cast<double>(m_Peers->linked() + 1);
  return std::clamp(Even, LeastPollWait, MostPollWait) *
         absl::Uniform(m_Random, 0.5, 1.0);
}

void Node::Impl::makeFollowers() {
  RecordFollower::Options Operator = followerOptions();
  Operator.m_Topic = m_Ports.m_OperatorTopic;
  Operator.m_OnRecord = [this](const StoredRecord &Record, absl::Time Now) {
    onOperatorRecord(Record, Now);
  };
  Operator.m_Wait = [this] { return pollWait(); };
  Operator.m_OnReach = [this](bool IsReached, absl::Time) {
    m_Log.state(IsReached ? "The store is reached." : "The store is away.",
                {{"config", m_Catalog ? m_Catalog->version() : 0}});
  };
  m_Operator = std::make_unique<RecordFollower>(std::move(Operator));

  RecordFollower::Options Members = followerOptions();
  Members.m_Topic = m_Ports.m_MemberTopic;
  Members.m_ReadAllEvery = MembersEvery;
  Members.m_OnRecord = [this](const StoredRecord &Record, absl::Time Now) {
    onMemberRecord(Record, Now);
  };
  Members.m_OnFirstRead = [this](absl::Time Now) {
    m_HasMembers = true;
    m_Entry->rates().onMembersKnown(Now, m_Random);
  };
  Members.m_OnReach = [](bool, absl::Time) {};
  m_Members = std::make_unique<RecordFollower>(std::move(Members));
}

} // namespace knapweedloft::mesh
