#include "TestFleet.h"

#include "TestSite.h"

#include "absl/random/distributions.h"
#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh::testing {
namespace {

constexpr absl::Duration Tick = absl::Milliseconds(20);
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(1500);
/// Between a daemon and its target.
constexpr absl::Duration LocalDelay = absl::Microseconds(200);
constexpr absl::Duration StoreDelay = absl::Milliseconds(4);
constexpr absl::Duration DrainTime = absl::Seconds(1);
constexpr std::int64_t WaitMs = 3000;

std::string pathOf(const std::string &RequestText) {
  std::size_t From = RequestText.find(' ') + 1;
  return RequestText.substr(From, RequestText.find(' ', From) - From);
}

std::string callIdOf(const std::string &RequestText) {
  constexpr std::string_view Field = "Call-Id: ";
  std::size_t From = RequestText.find(Field);
  if (From == std::string::npos)
    return {};
  From += Field.size();
  return RequestText.substr(From, RequestText.find('\r', From) - From);
}

std::string serviceName(std::size_t Number) {
  return Number == 0 ? "archive" : fmt::format("service-{}", Number);
}

/// The catalog of one service, with others like it.
CatalogPtr catalogOf(std::size_t Services) {
  Catalog Made = makeCatalog()->catalog();
  for (std::size_t Number = 1; Number < Services; ++Number) {
    CatalogRoute Route = Made.m_Routes.front();
    Route.m_Name = serviceName(Number);
    Route.m_PathPrefix = "/" + Route.m_Name + "/";
    Route.m_WeightedServices = {{Route.m_Name, 1}};
    Made.m_Routes.push_back(Route);
    CatalogService Service = Made.m_Services.front();
    Service.m_Name = Route.m_Name;
    Made.m_Services.push_back(Service);
  }
  return std::make_shared<const CatalogIndex>(std::move(Made));
}

http::HttpResult failed(http::Failure How) {
  http::HttpResult Result;
  Result.m_Failure = How;
  return Result;
}

} // namespace

TestFleet::TestFleet(const Options &Settings)
    : m_Settings(Settings), m_Daemons(Settings.m_Daemons),
      m_Random(Settings.m_Seed) {
  for (std::size_t Index = 0; Index < size(); ++Index) {
    Daemon &Made = m_Daemons[Index];
    Made.m_Self = {.m_Name = fmt::format("daemon-{:02}", Index),
                   .m_Region = "r",
                   .m_DataCenter = std::string(1, 'a' + char(Index % 3)),
                   .m_Service = serviceName(Index / 3 % m_Settings.m_Services)};
    Made.m_Targets.resize(size());
  }
  for (std::size_t Index = 0; Index < size(); ++Index)
    start(Index);
  for (std::size_t Left = 0; Left < size(); ++Left)
    for (std::size_t Right = Left + 1; Right < size(); ++Right)
      setLinked(Left, Right, true);
  for (std::size_t Index = 0; Index < size(); ++Index)
    heartbeat(Index);
  run(absl::Milliseconds(100));
}

TestFleet::~TestFleet() = default;

void TestFleet::at(absl::Time When, std::function<void()> Task) {
  m_Events.emplace(When, std::move(Task));
}

void TestFleet::later(std::size_t Index, absl::Duration After,
                      std::function<void()> Task) {
  at(m_Now + After,
     [this, Index, Life = m_Daemons[Index].m_Life, Task = std::move(Task)] {
       if (m_Daemons[Index].m_Life == Life)
         Task();
     });
}

bool TestFleet::isLinked(std::size_t From, std::size_t To) const {
  return From == To || !m_Cut.contains(std::minmax(From, To));
}

bool TestFleet::hasCutLink(std::size_t Index) const {
  return std::any_of(m_Cut.begin(), m_Cut.end(), [Index](const auto &Pair) {
    return Pair.first == Index || Pair.second == Index;
  });
}

absl::Duration TestFleet::delayBetween(std::size_t From, std::size_t To) const {
  if (From == To)
    return absl::ZeroDuration();
  bool IsRemote = From % 3 != To % 3;
  return m_Settings.m_LinkDelay +
         (IsRemote ? m_Settings.m_RemoteDelay : absl::ZeroDuration());
}

bool TestFleet::isInTouch(std::size_t Index) const {
  absl::Time Since = m_Now - m_Settings.m_StabilityWindow;
  return m_IsStoreAvailable && !hasCutLink(Index) &&
         m_StoreDisturbedAt <= Since && m_Daemons[Index].m_DisturbedAt <= Since;
}

void TestFleet::setStoreAvailable(bool IsAvailable) {
  m_IsStoreAvailable = IsAvailable;
  m_StoreDisturbedAt = m_Now;
}

void TestFleet::restoreStore(std::size_t Records) {
  m_Store.resize(m_Store.size() - std::min(Records, m_Store.size()));
  ++m_StoreEra;
  m_StoreDisturbedAt = m_Now;
  // Daemons hear of it by the operator's topic, which is not played here.
  for (Daemon &One : m_Daemons)
    One.m_Records->restart();
}

void TestFleet::deliver(std::size_t From, std::size_t To,
                        std::function<void()> Task) {
  if (!isLinked(From, To))
    return;
  later(To, delayBetween(From, To), [this, From, To, Task = std::move(Task)] {
    if (isLinked(From, To))
      Task();
  });
}

void TestFleet::run(absl::Duration For) {
  absl::Time End = m_Now + For;
  while (!m_Events.empty() && m_Events.begin()->first <= End) {
    auto Next = m_Events.extract(m_Events.begin());
    m_Now = Next.key();
    Next.mapped()();
  }
  m_Now = End;
}

void TestFleet::skip(absl::Duration For) {
  m_Now += For;
  std::multimap<absl::Time, std::function<void()>> Moved;
  for (auto &[When, Task] : m_Events)
    Moved.emplace(When + For, std::move(Task));
  m_Events = std::move(Moved);
}

void TestFleet::start(std::size_t Index) {
  Daemon &Made = m_Daemons[Index];
  ++Made.m_Life;
  Made.m_Self.m_Incarnation = Made.m_Life * 1000 + Index + 1;
  for (PeerTarget &Known : Made.m_Targets)
    Known = {};
  Made.m_Told.clear();
  makeQuarantine(Index);
  makeRecords(Index);
  makeTarget(Index);
  makeEntry(Index);
  CatalogPtr Catalog = catalogOf(m_Settings.m_Services);
  Made.m_Entry->setCatalog(Catalog, m_Now);
  Made.m_Target->setCatalog(Catalog, m_Now);
  Made.m_Entry->rates().onMembersKnown(m_Now, m_Random);
  Made.m_Records->start(m_Now);
  tick(Index);
}

void TestFleet::makeQuarantine(std::size_t Index) {
  RequestQuarantine::Options Options;
  Options.m_Self = m_Daemons[Index].m_Self;
  Options.m_Hooks.m_Broadcast = [this, Index](const wire::SuspectsT &Message) {
    for (std::size_t Other = 0; Other < size(); ++Other)
      if (Other != Index)
        sendEvidence(Index, Other, Message);
  };
  Options.m_Hooks.m_Send = [this, Index](link::PeerHandle To,
                                         const wire::SuspectsT &Message) {
    sendEvidence(Index, To.m_Index, Message);
  };
  Options.m_Hooks.m_WriteRecord =
      [this, Index](std::string Value,
                    const std::function<void(bool, absl::Time)> &OnDone) {
        writeStore(Index,
                   {.m_Key = m_Daemons[Index].m_Self.m_Name,
                    .m_Value = std::move(Value)},
                   [OnDone](StoreOutcome Outcome, absl::Time Now) {
                     OnDone(Outcome == StoreOutcome::Done, Now);
                   });
      };
  m_Daemons[Index].m_Quarantine = std::make_unique<RequestQuarantine>(
      std::move(Options), ComponentLog(m_Log, "quarantine"));
}

void TestFleet::sendEvidence(std::size_t From, std::size_t To,
                             const wire::SuspectsT &Message) {
  wire::EnvelopeT Envelope;
  Envelope.message.Set(wire::SuspectsT(Message));
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::CreateEnvelope(Builder, &Envelope));
  m_EvidenceBytes += Builder.GetSize();
  deliver(From, To, [this, To, Message] {
    m_Daemons[To].m_Quarantine->onMessage(Message, m_Now);
  });
}

void TestFleet::makeRecords(std::size_t Index) {
  RecordFollower::Options Options;
  Options.m_Topic = "crashes";
  Options.m_Port.m_ReadNewest = [this, Index](const std::string &,
                                              StorePort::OnRead OnRead) {
    readStore(Index, false, 0, std::move(OnRead));
  };
  Options.m_Port.m_ReadFrom = [this, Index](const std::string &,
                                            std::uint64_t From, absl::Duration,
                                            StorePort::OnRead OnRead) {
    readStore(Index, true, From, std::move(OnRead));
  };
  Options.m_Schedule = [this, Index](std::function<void()> Task,
                                     absl::Duration After) {
    later(Index, After, std::move(Task));
  };
  Options.m_Random = [this] { return absl::Uniform(m_Random, 0.0, 1.0); };
  Options.m_PollPause = [] { return absl::Seconds(1); };
  Options.m_IsPollNeeded = [this, Index] { return hasCutLink(Index); };
  Options.m_OnRecord = [this, Index](const StoredRecord &Record, absl::Time) {
    m_Daemons[Index].m_Quarantine->onRecord(Record, m_Now, m_Now);
  };
  Options.m_OnFirstRead = [this, Index](absl::Time) {
    m_Daemons[Index].m_Quarantine->onRecordsRead();
  };
  Options.m_OnNewEra = [this, Index](std::uint64_t, absl::Time Now) {
    absl::Duration After = absl::Seconds(absl::Uniform(m_Random, 0.0, 1.0));
    m_Daemons[Index].m_Quarantine->onRecordLost(Now + After);
  };
  Options.m_OnAvailability = [](bool, absl::Time) {};
  m_Daemons[Index].m_Records =
      std::make_unique<RecordFollower>(std::move(Options));
}

void TestFleet::readStore(std::size_t Index, bool IsPoll, std::uint64_t From,
                          StorePort::OnRead OnRead) {
  later(
      Index, StoreDelay,
      [this, Index, IsPoll, From, OnRead = std::move(OnRead)] {
        if (!m_IsStoreAvailable)
          return OnRead({.m_Outcome = StoreOutcome::Refused}, m_Now);
        if (IsPoll && From > m_Store.size())
          return OnRead(
              {.m_Outcome = StoreOutcome::Expired, .m_Era = m_StoreEra}, m_Now);
        if (IsPoll && From == m_Store.size()) {
          m_Polls.push_back([this, Index, From, OnRead, Life = lifeOf(Index)] {
            if (Life == lifeOf(Index))
              readStore(Index, true, From, OnRead);
          });
          return;
        }
        StoreReadResult Read{.m_Outcome = StoreOutcome::Done,
                             .m_End = m_Store.size(),
                             .m_Era = m_StoreEra};
        Read.m_Records.assign(
            m_Store.begin() + static_cast<std::ptrdiff_t>(From), m_Store.end());
        for (StoredRecord &Record : Read.m_Records)
          Record.m_Era = m_StoreEra;
        OnRead(std::move(Read), m_Now);
      });
}

void TestFleet::writeStore(std::size_t Index, StoredRecord Record,
                           StorePort::OnWritten OnWritten) {
  later(Index, StoreDelay,
        [this, Record = std::move(Record), OnWritten = std::move(OnWritten)] {
          if (!m_IsStoreAvailable)
            return OnWritten(StoreOutcome::Refused, m_Now);
          m_Store.push_back(Record);
          m_Store.back().m_Offset = m_Store.size() - 1;
          OnWritten(StoreOutcome::Done, m_Now);
          for (const auto &Poll : std::exchange(m_Polls, {}))
            Poll();
        });
}

void TestFleet::makeEntry(std::size_t Index) {
  EntryPath::Options Options;
  Options.m_Self = m_Daemons[Index].m_Self;
  Options.m_SelfAddress = "10.0.0.1";
  Options.m_Seed = m_Random();
  Options.m_HeaderNames = Names;
  Options.m_RetryBudget = m_Settings.m_RetryBudget;
  Options.m_Hooks.m_Forward = [this, Index](const model::Member &To,
                                            wire::ForwardT Message) {
    auto Peer = std::find_if(
        m_Daemons.begin(), m_Daemons.end(),
        [&](const Daemon &One) { return One.m_Self.m_Name == To.m_Name; });
    auto ToIndex = static_cast<std::size_t>(Peer - m_Daemons.begin());
    if (!isLinked(Index, ToIndex))
      return false;
    deliver(Index, ToIndex,
            [this, Index, ToIndex,
             Shared = std::make_shared<wire::ForwardT>(std::move(Message))] {
              m_Daemons[ToIndex].m_Target->onForward(
                  {static_cast<std::uint32_t>(Index)}, *Shared, m_Now);
            });
    return true;
  };
  Options.m_Hooks.m_Cancel = [this, Index](const model::Member &To,
                                           wire::CancelT Message) {
    for (std::size_t Other = 0; Other < size(); ++Other)
      if (m_Daemons[Other].m_Self.m_Name == To.m_Name)
        deliver(Index, Other, [this, Other, Message] {
          m_Daemons[Other].m_Target->onCancel(
              {Message.id.entry(), Message.id.sequence()}, m_Now);
        });
  };
  Options.m_Hooks.m_Answer = [this, Index](http::ExchangeId Id, int Status,
                                           std::string_view Lines,
                                           std::string_view Body) {
    noteTold(Index, std::string(Lines));
    m_Answers.push_back(
        {m_PathByExchange[Id.m_Sequence], Status, std::string(Body), m_Now});
  };
  Options.m_Hooks.m_TargetsOf = [this, Index](const std::string &Service) {
    std::vector<PeerTarget> Known;
    for (const PeerTarget &One : m_Daemons[Index].m_Targets)
      if (One.m_Member.m_Incarnation != 0 && One.m_Member.m_Service == Service)
        Known.push_back(One);
    return Known;
  };
  Options.m_Hooks.m_RouteRunningUntil = [](absl::Time) {
    return std::string();
  };
  Options.m_Hooks.m_Judge = [this, Index](model::Fingerprint Request,
                                          absl::Time Now) {
    return m_Daemons[Index].m_Quarantine->judge(Request, Now);
  };
  Options.m_Hooks.m_DescribeCrashes = [this, Index](model::Fingerprint Request,
                                                    absl::Time Now) {
    return m_Daemons[Index].m_Quarantine->describeCrashes(Request, Now);
  };
  m_Daemons[Index].m_Entry = std::make_unique<EntryPath>(
      std::move(Options), ComponentLog(m_Log, "entry"));
}

void TestFleet::makeTarget(std::size_t Index) {
  TargetPath::Options Options;
  Options.m_Self = m_Daemons[Index].m_Self.m_Incarnation;
  Options.m_DataCenter = m_Daemons[Index].m_Self.m_DataCenter;
  Options.m_Service = m_Daemons[Index].m_Self.m_Service;
  Options.m_At = {fmt::format("10.0.1.{}", Index), 80};
  Options.m_HeaderNames = Names;
  Options.m_Hooks.m_Answer = [this, Index](link::PeerHandle To,
                                           wire::AnswerT Answer) {
    deliver(Index, To.m_Index,
            [this, To,
             Shared = std::make_shared<wire::AnswerT>(std::move(Answer))] {
              m_Daemons[To.m_Index].m_Entry->onAnswer(*Shared, m_Now);
            });
  };
  Options.m_Hooks.m_Call = [this, Index](const http::LoopClient::Call &Call,
                                         http::LoopClient::Done OnDone) {
    return callTarget(Index, Call, std::move(OnDone));
  };
  Options.m_Hooks.m_CancelCall = [this, Index](http::LoopClient::CallId Id) {
    m_Daemons[Index].m_Running.erase(Id);
  };
  Options.m_Hooks.m_OnChange = [this, Index](absl::Time) {
    publishTarget(Index);
  };
  Options.m_Hooks.m_Judge = [this, Index](model::Fingerprint Request,
                                          absl::Time Now) {
    return m_Daemons[Index].m_Quarantine->judge(Request, Now);
  };
  Options.m_Hooks.m_OnCrash =
      [this, Index](const std::string &Instance,
                    std::span<const model::Fingerprint> InFlight,
                    absl::Time Now) {
        m_Daemons[Index].m_Quarantine->onTargetCrash(Instance, InFlight, Now);
      };
  Options.m_Hooks.m_OnCompleted = [this, Index](model::Fingerprint Request,
                                                absl::Time Now) {
    m_Daemons[Index].m_Quarantine->onCompleted(Request, Now);
  };
  m_Daemons[Index].m_Target = std::make_unique<TargetPath>(
      std::move(Options), ComponentLog(m_Log, "target"), m_Now);
}

void TestFleet::tick(std::size_t Index) {
  m_Daemons[Index].m_Entry->tick(m_Now);
  m_Daemons[Index].m_Target->tick(m_Now);
  m_Daemons[Index].m_Quarantine->tick(m_Now, m_Now);
  later(Index, Tick, [this, Index] { tick(Index); });
}

std::string TestFleet::instanceOf(std::size_t Index) const {
  return fmt::format("i-{}-{}", Index, m_Daemons[Index].m_InstanceId);
}

void TestFleet::reportTarget(std::size_t Index, TargetCondition Condition) {
  Daemon &Beside = m_Daemons[Index];
  Beside.m_Target->onReport(
      {.m_Instance = instanceOf(Index),
       .m_Service = Beside.m_Self.m_Service,
       .m_At = {fmt::format("10.0.1.{}", Index), 80},
       .m_Condition = Condition,
       .m_Slots = m_Settings.m_Slots,
       .m_Sequence = ++Beside.m_Reports,
       .m_StartTimeMs = static_cast<std::int64_t>(Beside.m_Instance)},
      m_Now);
}

void TestFleet::heartbeat(std::size_t Index) {
  const Daemon &Beside = m_Daemons[Index];
  if (Beside.m_IsTargetUp)
    reportTarget(Index, Beside.m_IsTargetLeaving ? TargetCondition::Draining
                                                 : TargetCondition::Ready);
  at(m_Now + HeartbeatInterval, [this, Index] { heartbeat(Index); });
}

void TestFleet::publishTarget(std::size_t Index) {
  const Daemon &Beside = m_Daemons[Index];
  PeerTarget Told{.m_Member = Beside.m_Self,
                  .m_Instance = Beside.m_Target->state().instance(),
                  .m_StartTimeMs = Beside.m_Target->state().startTimeMs(),
                  .m_IsOpen = Beside.m_Target->state().isOpen()};
  for (std::size_t Other = 0; Other < size(); ++Other)
    deliver(Index, Other, [this, Index, Other, Told] {
      m_Daemons[Other].m_Targets[Index] = Told;
      m_Daemons[Other].m_Entry->onTargetsChanged();
    });
}

void TestFleet::setLinked(std::size_t Left, std::size_t Right, bool IsLinked) {
  if (IsLinked)
    m_Cut.erase(std::minmax(Left, Right));
  else
    m_Cut.insert(std::minmax(Left, Right));
  for (auto [From, To] : {std::pair(Left, Right), std::pair(Right, Left)}) {
    Daemon &Here = m_Daemons[From];
    if (IsLinked) {
      publishTarget(From);
      Here.m_Quarantine->onLinkUp({static_cast<std::uint32_t>(To)},
                                  m_Daemons[To].m_Self.m_Name, m_Now);
      continue;
    }
    Here.m_Targets[To].m_IsOpen = false;
    Here.m_Entry->onTargetsChanged();
    Here.m_Target->onLinkLost({static_cast<std::uint32_t>(To)}, m_Now);
    Here.m_Entry->onDaemonLost(m_Daemons[To].m_Self.m_Incarnation, m_Now);
  }
}

void TestFleet::cutLinks(
    const std::function<bool(std::size_t, std::size_t)> &IsCut) {
  for (std::size_t Left = 0; Left < size(); ++Left)
    for (std::size_t Right = Left + 1; Right < size(); ++Right)
      if (IsCut(Left, Right)) {
        setLinked(Left, Right, false);
        disturb(Left);
        disturb(Right);
      }
}

void TestFleet::stopDaemon(std::size_t Index) {
  m_Daemons[Index].m_Target->stop(m_Now);
  m_Daemons[Index].m_Entry->stopAfter(m_Now, m_Now + m_Settings.m_StopTime);
  disturb(Index);
  later(Index, m_Settings.m_StopTime,
        [this, Index] { restartDaemons({Index}); });
}

void TestFleet::healLinks() {
  auto Healed = m_Cut;
  for (auto [Left, Right] : Healed) {
    setLinked(Left, Right, true);
    disturb(Left);
    disturb(Right);
  }
}

void TestFleet::restartDaemons(const std::vector<std::size_t> &Indices) {
  auto CutBefore = m_Cut;
  for (std::size_t Index : Indices)
    for (std::size_t Other = 0; Other < size(); ++Other)
      if (Other != Index)
        setLinked(Index, Other, false);
  for (std::size_t Index : Indices) {
    m_Daemons[Index].m_Running.clear();
    disturb(Index);
    start(Index);
  }
  for (std::size_t Index : Indices) {
    for (std::size_t Other = 0; Other < size(); ++Other)
      if (Other != Index && !CutBefore.contains(std::minmax(Index, Other)))
        setLinked(Index, Other, true);
    if (m_Daemons[Index].m_IsTargetUp)
      reportTarget(Index, TargetCondition::Ready);
  }
}

http::LoopClient::CallId
TestFleet::callTarget(std::size_t Index, const http::LoopClient::Call &Call,
                      http::LoopClient::Done OnDone) {
  http::LoopClient::CallId Id = ++m_LastCall;
  std::string Path = pathOf(Call.m_Text);
  std::size_t Entry = m_EntryByCall[callIdOf(Call.m_Text)];
  m_Daemons[Index].m_Running[Id] = {Path, Entry, std::move(OnDone)};
  later(Index, LocalDelay, [this, Index, Id, Path, Entry] {
    Daemon &Beside = m_Daemons[Index];
    auto Found = Beside.m_Running.find(Id);
    if (Found == Beside.m_Running.end())
      return;
    if (!Beside.m_IsTargetUp) {
      TargetCall Refused = std::move(Found->second);
      Beside.m_Running.erase(Found);
      Refused.m_OnDone(failed(http::Failure::NotSent), m_Now);
      return;
    }
    if (Path != "/health")
      noteArrival(Index, Entry, Path);
    if (m_Poisonous.contains(Path))
      return crashLater(Index, Id, Path);
    later(
        Index, Path == "/health" ? LocalDelay : m_Settings.m_Run,
        [this, Index, Id] {
          Daemon &Here = m_Daemons[Index];
          auto Running = Here.m_Running.find(Id);
          if (Running == Here.m_Running.end())
            return;
          TargetCall Done = std::move(Running->second);
          Here.m_Running.erase(Running);
          http::HttpResult Result;
          Result.m_Response = {
              .m_Status = 200,
              .m_Headers = {{"Proof", "p"}, {"I-Am", instanceOf(Index)}}};
          if (!Here.m_RateLimit.empty())
            Result.m_Response.m_Headers.push_back({"Takes", Here.m_RateLimit});
          if (Here.m_SaysLeaving)
            Result.m_Response.m_Headers.push_back({"Leaves", "1"});
          Done.m_OnDone(std::move(Result), m_Now);
        });
  });
  return Id;
}

void TestFleet::crashLater(std::size_t Index, http::LoopClient::CallId Id,
                           const std::string &Path) {
  auto Crash = [this, Index, Id, Path] {
    if (!m_Daemons[Index].m_Running.contains(Id))
      return;
    m_Crashes[Path].push_back(m_Now);
    crashTarget(Index);
  };
  if (m_Settings.m_CrashDelay == absl::ZeroDuration())
    Crash();
  else
    later(Index, m_Settings.m_CrashDelay, Crash);
}

void TestFleet::noteTold(std::size_t Entry, const std::string &Lines) {
  if (Lines.find("Takes: ") == std::string::npos &&
      Lines.find("Leaves: ") == std::string::npos)
    return;
  constexpr std::string_view Field = "I-Am: ";
  std::size_t From = Lines.find(Field) + Field.size();
  m_Daemons[Entry].m_Told.emplace(
      Lines.substr(From, Lines.find('\r', From) - From), m_Now);
}

void TestFleet::noteArrival(std::size_t Index, std::size_t Entry,
                            const std::string &Path) {
  constexpr absl::Duration ToldBefore = absl::Milliseconds(500);
  m_Arrivals[Path].push_back({m_Now, Entry, isInTouch(Entry)});
  const auto &Told = m_Daemons[Entry].m_Told;
  auto Found = Told.find(instanceOf(Index));
  m_Daemons[Index].m_Arrivals.push_back(
      {m_Now, Found != Told.end() && m_Now >= Found->second + ToldBefore});
}

void TestFleet::nameRateLimit(std::size_t Index, const std::string &Text) {
  m_Daemons[Index].m_RateLimit = Text;
}

void TestFleet::sayLeaving(std::size_t Index) {
  m_Daemons[Index].m_SaysLeaving = true;
}

void TestFleet::replaceTarget(std::size_t Index, bool KeepsId) {
  Daemon &Beside = m_Daemons[Index];
  breakCalls(Index);
  Beside.m_RateLimit.clear();
  Beside.m_SaysLeaving = false;
  ++Beside.m_Instance;
  if (!KeepsId)
    Beside.m_InstanceId = Beside.m_Instance;
  Beside.m_Reports = 0;
  reportTarget(Index, TargetCondition::Ready);
}

std::size_t TestFleet::mostFromTold(std::size_t Index, absl::Time From,
                                    absl::Duration Span) const {
  std::vector<absl::Time> Told;
  for (const TargetArrival &One : m_Daemons[Index].m_Arrivals)
    if (One.m_IsTold && One.m_At >= From)
      Told.push_back(One.m_At);
  std::size_t Most = 0;
  for (auto First = Told.begin(); First != Told.end(); ++First) {
    auto Last = std::lower_bound(First, Told.end(), *First + Span);
    Most = std::max(Most, static_cast<std::size_t>(Last - First));
  }
  return Most;
}

std::size_t TestFleet::arrivalsAt(std::size_t Index, absl::Time From) const {
  const auto &All = m_Daemons[Index].m_Arrivals;
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [From](const TargetArrival &One) {
        return One.m_At >= From;
      }));
}

void TestFleet::breakCalls(std::size_t Index) {
  auto Broken = std::exchange(m_Daemons[Index].m_Running, {});
  for (auto &[Id, Call] : Broken)
    later(Index, LocalDelay, [this, OnDone = std::move(Call.m_OnDone)] {
      OnDone(failed(http::Failure::Cut), m_Now);
    });
}

void TestFleet::resetConnections(std::size_t Index) {
  disturb(Index);
  breakCalls(Index);
}

void TestFleet::crashTarget(std::size_t Index) {
  Daemon &Beside = m_Daemons[Index];
  if (!Beside.m_IsTargetUp)
    return;
  Beside.m_IsTargetUp = false;
  Beside.m_IsTargetLeaving = false;
  breakCalls(Index);
  at(m_Now + m_Settings.m_TargetRestart, [this, Index] {
    Daemon &Restarted = m_Daemons[Index];
    Restarted.m_IsTargetUp = true;
    Restarted.m_InstanceId = ++Restarted.m_Instance;
    Restarted.m_SaysLeaving = false;
    Restarted.m_Reports = 0;
    reportTarget(Index, TargetCondition::Ready);
  });
}

void TestFleet::drainTarget(std::size_t Index) {
  m_Daemons[Index].m_IsTargetLeaving = true;
  reportTarget(Index, TargetCondition::Draining);
  at(m_Now + DrainTime, [this, Index] { crashTarget(Index); });
}

void TestFleet::request(std::size_t Index, const std::string &Path) {
  http::ParsedMessage Message;
  Message.m_Method = "GET";
  Message.m_Path = Path;
  std::uint64_t Exchange = ++m_LastExchange;
  Message.m_Headers = {{"Host", "site"},
                       {"Call-Id", fmt::format("c{}", Exchange)},
                       {"Time-Left", fmt::format("{}", WaitMs)},
                       {"Authorization", "Key secret"}};
  m_PathByExchange[Exchange] = Path;
  m_EntryByCall[fmt::format("c{}", Exchange)] = Index;
  m_Daemons[Index].m_Entry->onRequest({1, Exchange}, std::move(Message),
                                      "10.9.9.9", m_Now);
}

std::size_t TestFleet::arrivalsAfterThirdCrash(const std::string &Path,
                                               absl::Duration After) {
  const std::vector<absl::Time> &Crashes = m_Crashes[Path];
  if (Crashes.size() < 3)
    return 0;
  const std::vector<Arrival> &All = m_Arrivals[Path];
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const Arrival &One) {
        return One.m_At > Crashes[2] + After;
      }));
}

std::size_t TestFleet::retriesInTouch(const std::string &Path,
                                      absl::Duration After) {
  const std::vector<absl::Time> &Crashes = m_Crashes[Path];
  if (Crashes.size() < 3)
    return 0;
  const std::vector<Arrival> &All = m_Arrivals[Path];
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const Arrival &One) {
        return One.m_IsEntryInTouch && One.m_At > Crashes[2] + After;
      }));
}

std::size_t TestFleet::answered(const std::string &PathPrefix,
                                int Status) const {
  return static_cast<std::size_t>(std::count_if(
      m_Answers.begin(), m_Answers.end(), [&](const Answered &One) {
        return One.m_Path.starts_with(PathPrefix) && One.m_Status == Status;
      }));
}

} // namespace knapweedloft::mesh::testing
