#include "fakefleet/FakeFleet.h"

#include "fakefleet/FakeDaemon.h"
#include "state/RecordCodec.h"

#include <utility>

namespace knapweedloft::fakefleet {
namespace {

/// Clocks start anywhere within this.
constexpr double MaxClockOffsetSeconds = 1e6;

constexpr std::size_t FrameHeaderBytes = 4;

} // namespace

FakeFleet::FakeFleet(Options Settings)
    : m_Settings(std::move(Settings)), m_Random(m_Settings.m_Seed) {}

FakeFleet::~FakeFleet() = default;

void FakeFleet::add(const std::string &Name, const std::string &DataCenter) {
  std::unique_ptr<FakeDaemon> &Slot = m_Daemons[Name];
  if (Slot)
    m_Dead.push_back(std::move(Slot));
  Slot = make(Name, DataCenter);
  Slot->start();
}

void FakeFleet::crash(const std::string &Name) {
  FakeDaemon &Gone = daemon(Name);
  Gone.crash();
  for (auto &[Other, Peer] : m_Daemons)
    if (Peer->hasLink(Name, Gone.self().m_Incarnation) && !isCut(Name, Other))
      Peer->onDaemon([Peer = Peer.get(), Name] { Peer->onLinkDown(Name); });
}

void FakeFleet::restart(const std::string &Name) {
  std::string DataCenter = daemon(Name).self().m_DataCenter;
  crash(Name);
  add(Name, DataCenter);
}

void FakeFleet::pause(const std::string &Name, absl::Duration Length) {
  daemon(Name).pauseUntil(now() + Length);
}

void FakeFleet::cut(const std::string &From, const std::string &To,
                    bool IsCut) {
  m_Cuts[{From, To}] = IsCut;
}

void FakeFleet::setLogReach(const std::string &Name, bool IsReached) {
  daemon(Name).setLogReach(IsReached);
}

void FakeFleet::append(const state::Entry &Entry) {
  m_Log.m_Records.push_back(state::encodeRecord({absl::UnixEpoch(), Entry}));
}

void FakeFleet::put(model::Resource What) {
  append(state::ResourceChange{.m_ChangeId =
                                   "change-" + std::to_string(++m_ChangeCount),
                               .m_Kind = model::kindOf(What),
                               .m_Name = model::nameOf(What),
                               .m_Resource = What});
}

void FakeFleet::remove(model::ResourceKind Kind, const std::string &Name) {
  append(state::ResourceChange{.m_ChangeId =
                                   "change-" + std::to_string(++m_ChangeCount),
                               .m_Kind = Kind,
                               .m_Name = Name});
}

void FakeFleet::run(absl::Duration Length) {
  m_Queue.runUntil(m_Queue.now() + Length);
}

FakeDaemon &FakeFleet::daemon(const std::string &Name) {
  return *m_Daemons.at(Name);
}

std::vector<std::string> FakeFleet::names() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Daemon] : m_Daemons)
    Names.push_back(Name);
  return Names;
}

bool FakeFleet::isUp(const std::string &Name) const {
  auto Found = m_Daemons.find(Name);
  return Found != m_Daemons.end() && Found->second->isUp();
}

bool FakeFleet::send(FakeDaemon &From, const std::string &To,
                     link::wire::MessageUnion Message) {
  const model::Member &Sender = From.self();
  auto Found = m_Daemons.find(To);
  if (Found == m_Daemons.end() ||
      !From.hasLink(To, Found->second->self().m_Incarnation))
    return false;
  if (m_Settings.m_CountsBytes)
    countBytes(From, Message);
  if (isCut(Sender.m_Name, To))
    return true;
  bool IsFragile = Message.AsGrantAsk() || Message.AsGrant();
  std::uniform_real_distribution<double> Unit(0, 1);
  if (IsFragile && Unit(m_Random) < m_Settings.m_Loss)
    return true;
  bool IsRepeated = IsFragile && Unit(m_Random) < m_Settings.m_Repeats;
  auto Shared = std::make_shared<link::wire::MessageUnion>(std::move(Message));
  absl::Time &Last = m_LastArrival[{Sender.m_Name, To}];
  Last = std::max(Last, now() + latency());
  deliver(Sender.m_Name, Sender.m_Incarnation, To, Shared, Last);
  if (IsRepeated)
    deliver(Sender.m_Name, Sender.m_Incarnation, To, Shared,
            Last + absl::Seconds(Unit(m_Random) * 3));
  return true;
}

void FakeFleet::deliver(
    const std::string &From, model::Incarnation FromLife, const std::string &To,
    const std::shared_ptr<link::wire::MessageUnion> &Message, absl::Time When) {
  m_Queue.at(When, [this, From, FromLife, To, Message] {
    FakeDaemon &Receiver = daemon(To);
    Receiver.onDaemon([&Receiver, From, FromLife, Message] {
      Receiver.onMessage({From, FromLife}, *Message);
    });
  });
}

void FakeFleet::connect(FakeDaemon &From, const std::string &To) {
  auto Found = m_Daemons.find(To);
  const model::Member &Own = From.self();
  if (Found == m_Daemons.end() || To == Own.m_Name)
    return;
  FakeDaemon &Peer = *Found->second;
  bool IsReachable = Peer.isUp() && !Peer.isPaused() &&
                     !isCut(Own.m_Name, To) && !isCut(To, Own.m_Name);
  if (From.hasLink(To, Peer.self().m_Incarnation) || !IsReachable)
    return;
  model::Member Theirs = Peer.self();
  // The peer may still hold an older link; the new one replaces it.
  if (Peer.hasLink(Own.m_Name, Own.m_Incarnation))
    Peer.onLinkDown(Own.m_Name);
  From.onLinkUp(Theirs);
  Peer.onLinkUp(Own);
}

void FakeFleet::appendFrom(FakeDaemon &From, const state::Entry &Entry) {
  if (m_Log.m_IsUnavailable || !From.reachesLog())
    return;
  std::string Payload = state::encodeRecord({absl::UnixEpoch(), Entry});
  m_Queue.after(m_Log.m_Latency,
                [this, Payload] { m_Log.m_Records.push_back(Payload); });
}

bool FakeFleet::isCut(const std::string &From, const std::string &To) const {
  auto Found = m_Cuts.find({From, To});
  return Found != m_Cuts.end() && Found->second;
}

absl::Duration FakeFleet::latency() {
  return m_Settings.m_LeastLatency +
         (m_Settings.m_MostLatency - m_Settings.m_LeastLatency) *
             std::uniform_real_distribution<double>(0, 1)(m_Random);
}

void FakeFleet::countBytes(FakeDaemon &From,
                           const link::wire::MessageUnion &Message) {
  flatbuffers::FlatBufferBuilder Builder;
  auto Body = Message.Pack(Builder);
  Builder.Finish(link::wire::CreateEnvelope(Builder, Message.type, Body));
  KindTraffic &Kind = m_Traffic[link::wire::EnumNameMessage(Message.type)];
  ++Kind.m_Messages;
  Kind.m_Bytes += Builder.GetSize() + FrameHeaderBytes;
  From.countBytes(Builder.GetSize() + FrameHeaderBytes);
}

std::unique_ptr<FakeDaemon> FakeFleet::make(const std::string &Name,
                                            const std::string &DataCenter) {
  std::uniform_real_distribution<double> Unit(0, 1);
  model::Member Self{.m_Name = Name,
                     .m_Incarnation = m_Random() | 1,
                     .m_Link = {"127.0.0.1", 7000},
                     .m_Region = "region",
                     .m_DataCenter = DataCenter,
                     .m_Service = "orders"};
  double Drift = (2 * Unit(m_Random) - 1) * m_Settings.m_MaxDrift;
  return std::make_unique<FakeDaemon>(
      *this, Self, Drift,
      absl::Seconds(Unit(m_Random) * MaxClockOffsetSeconds));
}

} // namespace knapweedloft::fakefleet
