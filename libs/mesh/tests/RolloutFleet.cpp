#include "RolloutFleet.h"

#include "TestSite.h"

#include "absl/random/distributions.h"
#include "fmt/format.h"

#include <algorithm>

namespace knapweedloft::mesh::testing {
namespace {

constexpr absl::Duration Tick = absl::Milliseconds(50);
constexpr absl::Duration HeartbeatInterval = absl::Milliseconds(1500);
constexpr absl::Duration LinkDelay = absl::Milliseconds(1);
constexpr absl::Duration LocalDelay = absl::Microseconds(200);
constexpr absl::Duration StoreDelay = absl::Milliseconds(4);
/// After this time a daemon learns an order from a peer instead of the store.
constexpr absl::Duration PeerRecordDelay = absl::Milliseconds(700);
/// From an order until the targets of the new version have started.
constexpr absl::Duration StartTime = absl::Milliseconds(500);
constexpr std::int64_t WaitMs = 3000;
const std::string Service = "archive";

} // namespace

RolloutFleet::RolloutFleet(const Options &Settings)
    : m_Settings(Settings), m_Log({.m_Sink =
                                       [this](std::string_view Text) {
                                         m_LogText += Text;
                                         return Text.size();
                                       }}),
      m_Random(Settings.m_Seed),
      m_Store(
          [this](absl::Duration After, std::function<void()> Task) {
            at(m_Now + After, std::move(Task));
          },
          [this] { return m_Now; }),
      m_Daemons(Settings.m_Former + Settings.m_New) {
  for (std::size_t Index = 0; Index < size(); ++Index) {
    Daemon &Made = m_Daemons[Index];
    Made.m_Self = {.m_Name = fmt::format("daemon-{:03}", Index),
                   .m_Region = "r",
                   .m_DataCenter = std::string(1, 'a' + char(Index % 3)),
                   .m_Service = Service};
    Made.m_Version = Index < m_Settings.m_Former ? "v1" : "v2";
    Made.m_Targets.resize(size());
  }
  for (std::size_t Index = 0; Index < size(); ++Index)
    start(Index);
  for (std::size_t Left = 0; Left < size(); ++Left)
    for (std::size_t Right = Left + 1; Right < size(); ++Right)
      setLinked(Left, Right, true);
  run(absl::Seconds(1));
  call();
}

RolloutFleet::~RolloutFleet() = default;

void RolloutFleet::at(absl::Time When, std::function<void()> Task) {
  m_Events.emplace(When, std::move(Task));
}

void RolloutFleet::runIn(std::size_t Index, std::uint64_t Life,
                         const std::function<void()> &Task) {
  const Daemon &In = m_Daemons[Index];
  if (In.m_Life != Life || !In.m_IsUp)
    return;
  if (In.m_PausedUntil > m_Now)
    at(In.m_PausedUntil,
       [this, Index, Life, Task] { runIn(Index, Life, Task); });
  else
    Task();
}

void RolloutFleet::later(std::size_t Index, absl::Duration After,
                         std::function<void()> Task) {
  at(m_Now + After, [this, Index, Life = m_Daemons[Index].m_Life,
                     Task = std::move(Task)] { runIn(Index, Life, Task); });
}

bool RolloutFleet::isLinked(std::size_t From, std::size_t To) const {
  return From == To || (m_Daemons[From].m_IsUp && m_Daemons[To].m_IsUp &&
                        !m_Cut.contains(std::minmax(From, To)));
}

void RolloutFleet::deliver(std::size_t From, std::size_t To,
                           std::function<void()> Task) {
  if (!isLinked(From, To))
    return;
  later(To, From == To ? absl::ZeroDuration() : LinkDelay,
        [this, From, To, Task = std::move(Task)] {
          if (isLinked(From, To))
            Task();
        });
}

void RolloutFleet::run(absl::Duration For) {
  absl::Time End = m_Now + For;
  while (!m_Events.empty() && m_Events.begin()->first <= End) {
    auto Next = m_Events.extract(m_Events.begin());
    m_Now = std::max(m_Now, Next.key());
    Next.mapped()();
  }
  m_Now = End;
}

void RolloutFleet::start(std::size_t Index) {
  Daemon &Made = m_Daemons[Index];
  ++Made.m_Life;
  Made.m_IsUp = true;
  Made.m_Reports = 0;
  Made.m_PausedUntil = absl::InfinitePast();
  Made.m_Self.m_Incarnation = Made.m_Life * 1000 + Index + 1;
  for (PeerTarget &Known : Made.m_Targets)
    Known = {};
  makeRollouts(Index);
  makeTarget(Index);
  makeEntry(Index);
  Made.m_Entry->setCatalog(makeCatalog(), m_Now);
  Made.m_Target->setCatalog(makeCatalog(), m_Now);
  Made.m_Entry->rates().onMembersKnown(m_Now, m_Random);
  readOrders(Index);
  report(Index);
  tick(Index);
}

void RolloutFleet::makeRollouts(std::size_t Index) {
  Rollouts::Options Options;
  Options.m_Self = m_Daemons[Index].m_Self;
  Options.m_HeaderNames = Names;
  Options.m_Ports = m_Store.portsFor(
      Index, [this, Index](absl::Duration After, std::function<void()> Task) {
        later(Index, After, std::move(Task));
      });
  Options.m_Hooks.m_Peers = [this, Index](absl::Time) {
    return peersOf(Index);
  };
  Options.m_Hooks.m_SendNews = [this, Index](link::PeerHandle To,
                                             const wire::RolloutNewsT &News) {
    deliver(Index, To.m_Index, [this, Index, To, News] {
      m_Daemons[To.m_Index].m_Rollouts->onNews(
          {static_cast<std::uint32_t>(Index)}, News, m_Now);
    });
  };
  Options.m_Hooks.m_SendSample =
      [this, Index](link::PeerHandle To, const wire::RolloutSampleT &Sample) {
        auto Shared = std::make_shared<wire::RolloutSampleT>(Sample);
        deliver(Index, To.m_Index, [this, Index, To, Shared] {
          m_Daemons[To.m_Index].m_Rollouts->onSample(m_Daemons[Index].m_Self,
                                                     *Shared, m_Now);
        });
      };
  Options.m_Hooks.m_FillSample = [this, Index](policy::RolloutSample &Sample,
                                               absl::Time Now) {
    m_Daemons[Index].m_Target->fillSample(Sample, Now);
  };
  m_Daemons[Index].m_Entry.reset();
  m_Daemons[Index].m_Target.reset();
  m_Daemons[Index].m_Rollouts = std::make_unique<Rollouts>(
      std::move(Options), ComponentLog(m_Log, "rollout"));
}

void RolloutFleet::makeTarget(std::size_t Index) {
  TargetPath::Options Options;
  Options.m_Self = m_Daemons[Index].m_Self.m_Incarnation;
  Options.m_DataCenter = m_Daemons[Index].m_Self.m_DataCenter;
  Options.m_Service = Service;
  Options.m_At = {fmt::format("10.0.1.{}", Index), 80};
  Options.m_HeaderNames = Names;
  Options.m_IsRestart = m_Daemons[Index].m_Life > 1;
  Options.m_Rollout = &m_Daemons[Index].m_Rollouts->target();
  Options.m_Hooks.m_Answer = [this, Index](link::PeerHandle To,
                                           wire::AnswerT Answer) {
    auto Shared = std::make_shared<wire::AnswerT>(std::move(Answer));
    deliver(Index, To.m_Index, [this, To, Shared] {
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
  Options.m_Hooks.m_OnChange = [this, Index](absl::Time) { publish(Index); };
  m_Daemons[Index].m_Target = std::make_unique<TargetPath>(
      std::move(Options), ComponentLog(m_Log, "target"), m_Now);
}

void RolloutFleet::makeEntry(std::size_t Index) {
  EntryPath::Options Options;
  Options.m_Self = m_Daemons[Index].m_Self;
  Options.m_HeaderNames = Names;
  Options.m_Seed = m_Settings.m_Seed * 1000 + Index + 1;
  Options.m_Hooks.m_Forward = [this, Index](const model::Member &To,
                                            wire::ForwardT Message) {
    std::size_t Other = std::stoul(To.m_Name.substr(To.m_Name.size() - 3));
    if (!isLinked(Index, Other))
      return false;
    auto Shared = std::make_shared<wire::ForwardT>(std::move(Message));
    deliver(Index, Other, [this, Index, Other, Shared] {
      m_Daemons[Other].m_Target->onForward({static_cast<std::uint32_t>(Index)},
                                           *Shared, m_Now);
    });
    return true;
  };
  Options.m_Hooks.m_Cancel = [this, Index](const model::Member &To,
                                           const wire::CancelT &Message) {
    std::size_t Other = std::stoul(To.m_Name.substr(To.m_Name.size() - 3));
    deliver(Index, Other, [this, Other, Id = Message.id] {
      m_Daemons[Other].m_Target->onCancel({Id.entry(), Id.sequence()}, m_Now);
    });
  };
  Options.m_Hooks.m_Answer = [this](http::ExchangeId, int Status,
                                    std::string_view,
                                    std::string_view) { ++m_Answers[Status]; };
  Options.m_Hooks.m_TargetsOf = [this, Index](const std::string &) {
    std::vector<PeerTarget> Known;
    for (std::size_t Other = 0; Other < size(); ++Other) {
      const PeerTarget &Told = m_Daemons[Index].m_Targets[Other];
      if (Told.m_Member.m_Incarnation == 0)
        continue;
      Known.push_back(Told);
      Known.back().m_IsOpen = Told.m_IsOpen && isLinked(Index, Other);
    }
    return Known;
  };
  Options.m_Hooks.m_RouteRunningUntil = [](absl::Time) {
    return std::string();
  };
  m_Daemons[Index].m_Entry = std::make_unique<EntryPath>(
      std::move(Options), ComponentLog(m_Log, "entry"));
}

std::vector<RolloutPeer> RolloutFleet::peersOf(std::size_t Index) const {
  std::vector<RolloutPeer> Known;
  for (std::size_t Other = 0; Other < size(); ++Other) {
    if (Other == Index)
      continue;
    RolloutPeer Peer{.m_Member = m_Daemons[Other].m_Self};
    if (isLinked(Index, Other))
      Peer.m_Link = {static_cast<std::uint32_t>(Other)};
    Known.push_back(std::move(Peer));
  }
  return Known;
}

void RolloutFleet::giveOrder(std::size_t Index) {
  if (m_Orders.empty())
    return;
  auto &[Order, Record] = m_Orders.back();
  m_Daemons[Index].m_Rollouts->onOrder(Order, Record, m_Now);
}

void RolloutFleet::readOrders(std::size_t Index) {
  absl::Duration After = m_Store.isAway(Index) ? PeerRecordDelay : StoreDelay;
  later(Index, After, [this, Index] {
    giveOrder(Index);
    m_Daemons[Index].m_Rollouts->onRecordsRead();
  });
}

void RolloutFleet::order(const std::string &Version) {
  m_OrderedAt = m_Now;
  RolloutOrder Order{.m_Service = Service,
                     .m_TargetVersion = Version,
                     .m_Duration = m_Settings.m_Duration};
  m_Orders.push_back({Order,
                      {.m_Key = Service,
                       .m_Value = Version,
                       .m_Era = m_Store.era(),
                       .m_Offset = m_Orders.size() + 1}});
  for (std::size_t Index = 0; Index < size(); ++Index)
    later(Index,
          (m_Store.isAway(Index) ? PeerRecordDelay : StoreDelay) +
              absl::Milliseconds(absl::Uniform(m_Random, 0.0, 10.0)),
          [this, Index] { giveOrder(Index); });
}

void RolloutFleet::removeOrder() {
  m_Orders.back().first.m_IsRemoved = true;
  for (std::size_t Index = 0; Index < size(); ++Index)
    later(Index, StoreDelay, [this, Index] { giveOrder(Index); });
}

void RolloutFleet::tick(std::size_t Index) {
  Daemon &Here = m_Daemons[Index];
  Here.m_Entry->tick(m_Now);
  Here.m_Target->tick(m_Now);
  Here.m_Rollouts->tick(m_Now);
  m_Log.flush(absl::Now());
  later(Index, Tick, [this, Index] { tick(Index); });
}

bool RolloutFleet::isReporting(std::size_t Index) const {
  return m_Daemons[Index].m_Version == "v1" || m_Now >= m_OrderedAt + StartTime;
}

void RolloutFleet::report(std::size_t Index) {
  Daemon &Beside = m_Daemons[Index];
  if (isReporting(Index))
    Beside.m_Target->onReport({.m_Instance = fmt::format("i-{}", Index),
                               .m_Service = Service,
                               .m_Version = Beside.m_Version,
                               .m_At = {fmt::format("10.0.1.{}", Index), 80},
                               .m_Slots = m_Settings.m_Slots,
                               .m_Sequence = ++Beside.m_Reports,
                               .m_StartTimeMs = 1},
                              m_Now);
  later(Index, HeartbeatInterval, [this, Index] { report(Index); });
}

void RolloutFleet::publish(std::size_t Index) {
  const Daemon &Beside = m_Daemons[Index];
  PeerTarget Told{.m_Member = Beside.m_Self,
                  .m_Instance = Beside.m_Target->state().instance(),
                  .m_StartTimeMs = Beside.m_Target->state().startTimeMs(),
                  .m_IsOpen = Beside.m_Target->state().isOpen(),
                  .m_Version = Beside.m_Version,
                  .m_Exposure = Beside.m_Rollouts->target().exposure(m_Now)};
  for (std::size_t Other = 0; Other < size(); ++Other)
    deliver(Index, Other, [this, Index, Other, Told] {
      m_Daemons[Other].m_Targets[Index] = Told;
      m_Daemons[Other].m_Entry->onTargetsChanged();
    });
}

void RolloutFleet::setLinked(std::size_t Left, std::size_t Right,
                             bool IsLinked) {
  for (auto [From, To] : {std::pair(Left, Right), std::pair(Right, Left)}) {
    Daemon &Here = m_Daemons[From];
    if (!Here.m_IsUp || !m_Daemons[To].m_IsUp)
      continue;
    if (IsLinked) {
      publish(From);
      later(From, LinkDelay, [this, From = From, To = To] {
        m_Daemons[From].m_Rollouts->onLinkUp({static_cast<std::uint32_t>(To)},
                                             m_Daemons[To].m_Self, m_Now);
      });
      continue;
    }
    Here.m_Targets[To].m_IsOpen = false;
    Here.m_Entry->onTargetsChanged();
    Here.m_Target->onLinkLost({static_cast<std::uint32_t>(To)}, m_Now);
    Here.m_Entry->onDaemonLost(m_Daemons[To].m_Self.m_Incarnation, m_Now);
    Here.m_Rollouts->onDaemonLost(m_Daemons[To].m_Self, m_Now);
  }
}

void RolloutFleet::cut(std::size_t Index, bool IsCut) {
  for (std::size_t Other = 0; Other < size(); ++Other) {
    if (Other == Index)
      continue;
    if (IsCut)
      m_Cut.insert(std::minmax(Index, Other));
    else
      m_Cut.erase(std::minmax(Index, Other));
    setLinked(Index, Other, !IsCut);
  }
}

void RolloutFleet::end(std::size_t Index) {
  for (std::size_t Other = 0; Other < size(); ++Other)
    if (Other != Index && isLinked(Index, Other))
      setLinked(Index, Other, false);
  m_Daemons[Index].m_IsUp = false;
  m_Daemons[Index].m_Running.clear();
}

void RolloutFleet::restart(std::size_t Index, absl::Duration After) {
  end(Index);
  at(m_Now + After, [this, Index] {
    start(Index);
    for (std::size_t Other = 0; Other < size(); ++Other)
      if (Other != Index && isLinked(Index, Other))
        setLinked(Index, Other, true);
  });
}

void RolloutFleet::restartAll() {
  for (std::size_t Index = 0; Index < size(); ++Index)
    restart(Index);
}

void RolloutFleet::pause(std::size_t Index, absl::Duration For) {
  m_Daemons[Index].m_PausedUntil = m_Now + For;
}

void RolloutFleet::restoreStore(std::size_t Records) {
  m_Store.restore(Records);
  if (!m_Orders.empty())
    m_Orders.back().second.m_Era = m_Store.era();
  for (std::size_t Index = 0; Index < size(); ++Index)
    later(Index, StoreDelay, [this, Index] {
      m_Daemons[Index].m_Rollouts->onNewEra(m_Store.era(), m_Now);
      giveOrder(Index);
    });
}

http::LoopClient::CallId
RolloutFleet::callTarget(std::size_t Index, const http::LoopClient::Call &Call,
                         http::LoopClient::Done OnDone) {
  http::LoopClient::CallId Id = ++m_LastCall;
  std::size_t From = Call.m_Text.find(' ') + 1;
  std::string Path =
      Call.m_Text.substr(From, Call.m_Text.find(' ', From) - From);
  Daemon &Beside = m_Daemons[Index];
  Beside.m_Running[Id] = std::move(OnDone);
  const Fault &Wrong = m_Settings.m_Fault;
  bool IsCheck = Path == "/health";
  bool IsFaulty = !IsCheck && Beside.m_Version == "v2" &&
                  m_Now >= m_OrderedAt + Wrong.m_After &&
                  Path.starts_with(Wrong.m_PathPrefix);
  bool IsFailure =
      IsFaulty && absl::Uniform(m_Random, 0.0, 1.0) < Wrong.m_FailureShare;
  bool IsSlow = IsFaulty && Wrong.m_SlowFactor > 1;
  if (!IsCheck)
    m_Arrivals.push_back({m_Now, Beside.m_Version});
  absl::Duration Run = IsCheck ? LocalDelay
                               : m_Settings.m_Run *
                                     absl::Uniform(m_Random, 0.7, 1.3) *
                                     (IsSlow ? Wrong.m_SlowFactor : 1);
  later(Index, Run, [this, Index, Id, IsFailure, IsSlow] {
    answer(Index, Id, IsFailure ? 500 : 200, IsFailure || IsSlow);
  });
  return Id;
}

void RolloutFleet::answer(std::size_t Index, http::LoopClient::CallId Id,
                          int Status, bool IsBad) {
  Daemon &Beside = m_Daemons[Index];
  auto Running = Beside.m_Running.find(Id);
  if (Running == Beside.m_Running.end())
    return;
  http::LoopClient::Done OnDone = std::move(Running->second);
  Beside.m_Running.erase(Running);
  if (IsBad)
    m_BadAnswers.push_back(m_Now);
  http::HttpResult Result;
  Result.m_Response = {
      .m_Status = Status,
      .m_Headers = {{"Proof", "p"}, {"I-Am", fmt::format("i-{}", Index)}}};
  OnDone(std::move(Result), m_Now);
}

void RolloutFleet::call() {
  std::size_t Index = absl::Uniform(m_Random, 0U, size());
  bool IsOrder = absl::Uniform(m_Random, 0.0, 1.0) < 0.3;
  std::uint64_t Exchange = ++m_LastExchange;
  if (m_Daemons[Index].m_IsUp)
    later(Index, absl::ZeroDuration(), [this, Index, IsOrder, Exchange] {
      http::ParsedMessage Message;
      Message.m_Method = "GET";
      Message.m_Path =
          fmt::format("/{}/{}", IsOrder ? "orders" : "reads", Exchange);
      Message.m_Headers = {{"Host", "site"},
                           {"Call-Id", fmt::format("c{}", Exchange)},
                           {"Time-Left", fmt::format("{}", WaitMs)},
                           {"Authorization", "Key secret"}};
      m_Daemons[Index].m_Entry->onRequest({1, Exchange}, std::move(Message),
                                          "10.9.9.9", m_Now);
    });
  absl::Duration Next =
      absl::Seconds(absl::Exponential(m_Random, m_Settings.m_PerSecond));
  at(m_Now + Next, [this] { call(); });
}

std::size_t RolloutFleet::deciders() const {
  return static_cast<std::size_t>(
      std::count_if(m_Daemons.begin(), m_Daemons.end(), [](const Daemon &One) {
        const RolloutDirector *Director = One.m_Rollouts->find(Service);
        return One.m_IsUp && Director && Director->isDeciding();
      }));
}

std::size_t RolloutFleet::decider() const {
  std::size_t Index = 0;
  for (; Index < size(); ++Index) {
    const RolloutDirector *Director =
        m_Daemons[Index].m_Rollouts->find(Service);
    if (m_Daemons[Index].m_IsUp && Director && Director->isDeciding())
      break;
  }
  return Index;
}

policy::RolloutPhase RolloutFleet::phaseAt(std::size_t Index) const {
  const RolloutDirector *Director = m_Daemons[Index].m_Rollouts->find(Service);
  return Director ? Director->phase() : policy::RolloutPhase::None;
}

std::size_t RolloutFleet::arrivals(const std::string &Version) const {
  return static_cast<std::size_t>(std::count_if(
      m_Arrivals.begin(), m_Arrivals.end(), [&](const Arrival &One) {
        return One.m_Version == Version && One.m_At >= m_OrderedAt &&
               One.m_At <= deadline();
      }));
}

std::size_t RolloutFleet::arrivalsAfter(const std::string &Version,
                                        absl::Time From) const {
  return static_cast<std::size_t>(std::count_if(
      m_Arrivals.begin(), m_Arrivals.end(), [&](const Arrival &One) {
        return One.m_Version == Version && One.m_At > From;
      }));
}

absl::Time RolloutFleet::fiftiethBadAnswer() const {
  constexpr std::size_t Fifty = 50;
  return m_BadAnswers.size() < Fifty ? absl::InfiniteFuture()
                                     : m_BadAnswers[Fifty - 1];
}

std::size_t RolloutFleet::answered(int Status) const {
  auto Found = m_Answers.find(Status);
  return Found == m_Answers.end() ? 0 : Found->second;
}

} // namespace knapweedloft::mesh::testing
