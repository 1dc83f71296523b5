#include "DaemonImpl.h"

#include "app/AppError.h"
#include "app/Clock.h"
#include "app/Log.h"
#include "platform/HttpLog.h"
#include "state/RecordCodec.h"

#include "absl/synchronization/notification.h"

#include <gnutls/crypto.h>

#include <random>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr Log LinkLog{"link"};

/// \returns 64 bits from the kernel's random source.
std::uint64_t randomBits() {
  std::uint64_t Bits = 0;
  if (gnutls_rnd(GNUTLS_RND_RANDOM, &Bits, sizeof(Bits)) != 0)
    throw AppError("the kernel's random source does not answer");
  return Bits;
}

model::Incarnation drawIncarnation() {
  std::uint64_t Bits = 0;
  while (Bits == 0)
    Bits = randomBits();
  return Bits;
}

double randomUnit() {
  thread_local std::mt19937_64 Engine{randomBits()};
  return std::uniform_real_distribution<double>(0, 1)(Engine);
}

model::Member selfOf(const Settings &From) {
  model::Member Self;
  Self.m_Name = From.m_Daemon.m_Name;
  Self.m_Incarnation = drawIncarnation();
  Self.m_Region = From.m_Daemon.m_Region;
  Self.m_DataCenter = From.m_Daemon.m_DataCenter;
  Self.m_Link = {From.m_Link.m_Address, From.m_Link.m_Port};
  return Self;
}

} // namespace

Daemon::Impl::Impl(const Settings &From)
    : m_Settings(From), m_Self(selfOf(From)),
      m_Log(platform::makeHttpLog({.m_Address = From.m_Log.m_Address,
                                   .m_Port = From.m_Log.m_Port,
                                   .m_Timeout = From.m_Log.m_Timeout})),
      m_ApiAccess(m_Settings.m_Api.m_Token),
      m_Metrics({.m_Objective = m_Settings.m_Objectives}),
      m_Contexts(randomBits) {
  makeSides();
  m_Appender = makeAppender("log-append");
  makeLinks();
  // The control components need the address that links are accepted at, and
  // belong to the link thread from their first moment on.
  absl::Notification IsMade;
  post([this, &IsMade] {
    makeControl();
    IsMade.Notify();
  });
  IsMade.WaitForNotification();
  makeLog();
  makeApi();
  makeServers();
  post([this] {
    // A target at a fixed port need not announce itself.
    const TargetSettings &Target = m_Settings.m_Target;
    if (Target.m_Port != 0)
      onAnnouncement({.m_Service = Target.m_Service,
                      .m_At = {Target.m_Address, Target.m_Port}});
    tickControl();
  });
}

void Daemon::Impl::makeSides() {
  m_Peers = std::make_unique<PeerTable>(
      PeerTable::Options{.m_Connect = [this](const model::Endpoint &To) {
        m_Links->connect(To);
      }});
  m_Client = std::make_unique<http::HttpClient>(http::HttpClient::Options{
      .m_MaxBodyBytes = m_Settings.m_Caller.m_MaxBodyBytes,
      .m_ThreadName = "target"});

  TargetSide::Options Target;
  Target.m_Self = m_Self.m_Incarnation;
  Target.m_Hooks.m_Answer = [this](link::PeerHandle To, wire::AnswerT Answer) {
    if (To != SelfLink) {
      m_Links->send(To, std::move(Answer));
      return;
    }
    auto Shared = std::make_shared<wire::AnswerT>(std::move(Answer));
    post([this, Shared] { m_Entry->onAnswer(*Shared, monotonicNow()); });
  };
  Target.m_Hooks.m_Fate = [this](link::PeerHandle To,
                                 wire::FateAnswerT Answer) {
    m_Links->send(To, std::move(Answer));
  };
  Target.m_Hooks.m_Call = [this](const std::string &Base,
                                 http::HttpRequest Request,
                                 absl::Duration Timeout,
                                 TargetSide::Hooks::Done OnDone) {
    return m_Client->send(
        Base, std::move(Request), Timeout,
        [this, OnDone = std::move(OnDone)](http::HttpResult Result) {
          auto Shared = std::make_shared<http::HttpResult>(std::move(Result));
          post(
              [OnDone, Shared] { OnDone(std::move(*Shared), monotonicNow()); });
        });
  };
  Target.m_Hooks.m_CancelCall = [this](http::HttpClient::CallId Call) {
    m_Client->cancel(Call);
  };
  Target.m_Hooks.m_TellSuspects = [this](const wire::SuspectsT &News) {
    return tellSuspects(News);
  };
  Target.m_Hooks.m_PutAside = [this](model::Fingerprint Print) {
    putAside(Print);
  };
  Target.m_Dedupe.m_Hooks.m_Second = [this](const std::string &Name) {
    return secondOf(Name);
  };
  Target.m_Dedupe.m_Hooks.m_Store = [this](const model::Member &To,
                                           wire::DedupeStoreT Message) {
    return sendTo(To.m_Name, std::move(Message));
  };
  Target.m_Hooks.m_SenderNow = [this](link::PeerHandle From, absl::Time Now) {
    if (From == SelfLink)
      return Now;
    const model::Member *Sender = m_Peers->memberOf(From);
    return Sender ? m_Spread->peerNow(Sender->m_Name, Now)
                  : absl::InfiniteFuture();
  };
  Target.m_Hooks.m_Wake = [this](absl::Time When) { scheduleTick(When); };
  m_Target = std::make_unique<TargetSide>(Target, m_Contexts, monotonicNow());

  EntrySide::Options Entry;
  Entry.m_Self = m_Self;
  Entry.m_Hooks.m_Forward = [this](const model::Member &To,
                                   wire::ForwardT Message) {
    return forwardTo(To, std::move(Message));
  };
  Entry.m_Hooks.m_Cancel = [this](const model::Member &To,
                                  wire::CancelT Message) {
    if (To.m_Incarnation != m_Self.m_Incarnation) {
      sendTo(To.m_Name, std::move(Message));
      return;
    }
    post([this, Id = fromWire(Message.id)] {
      m_Target->onCancel(Id, monotonicNow());
    });
  };
  Entry.m_Hooks.m_Query = [this](const model::Member &To,
                                 wire::FateQueryT Query) {
    link::PeerHandle Link = m_Peers->find(To.m_Name, To.m_Incarnation);
    return Link.isValid() && m_Links->send(Link, std::move(Query));
  };
  Entry.m_Hooks.m_IsLinked = [this](const model::Member &Who) {
    return m_Peers->find(Who.m_Name, Who.m_Incarnation).isValid();
  };
  Entry.m_Hooks.m_WantLink = [this](const model::Member &To) {
    m_Peers->want(To, monotonicNow());
  };
  Entry.m_Hooks.m_IsAlive = [this](const model::Member &Who) {
    return m_Members->isAlive(Who.m_Name);
  };
  Entry.m_Hooks.m_Wake = [this](absl::Time When) { scheduleTick(When); };
  Entry.m_Hooks.m_OnHangUp = [this](const EntryRequest &Request,
                                    std::function<void(absl::Time)> Hook) {
    Request.m_WatchHangUp([this, Hook = std::move(Hook)] {
      post([Hook] { Hook(monotonicNow()); });
    });
  };
  Entry.m_Hooks.m_OnEnd = [this](const RequestRecord &Ended) {
    m_Metrics.record(Ended, monotonicNow());
  };
  m_Entry = std::make_unique<EntrySide>(Entry, m_Replica.store(), m_Contexts);
}

void Daemon::Impl::makeLinks() {
  link::LinkNode::Options Options;
  Options.m_Self = m_Self;
  Options.m_HeartbeatInterval = m_Settings.m_Link.m_HeartbeatInterval;
  Options.m_SilentAfter = m_Settings.m_Link.m_SilentAfter;
  Options.m_ConnectTimeout = m_Settings.m_Link.m_ConnectTimeout;
  Options.m_MaxFrameBytes = m_Settings.m_Link.m_MaxFrameBytes;
  Options.m_Hooks.m_OnUp = [this](link::PeerHandle Link,
                                  const model::Member &Who) {
    onUp(Link, Who);
  };
  Options.m_Hooks.m_OnDown = [this](link::PeerHandle Link,
                                    link::LinkEnd Reason) {
    onDown(Link, Reason);
  };
  Options.m_Hooks.m_OnMessage = [this](link::PeerHandle From,
                                       link::wire::MessageUnion &Message) {
    onMessage(From, Message);
  };
  Options.m_Hooks.m_OnConnectFailed = [this](const model::Endpoint &To,
                                             link::LinkEnd) {
    m_Peers->onConnectFailed(To, monotonicNow());
  };
  Options.m_Hooks.m_FillHeartbeat = [this](link::wire::HeartbeatT &Beat) {
    fillHeartbeat(Beat);
  };
  m_Links = std::make_unique<link::LinkNode>(std::move(Options));
  model::Endpoint Bound = m_Links->endpoint();
  LinkLog.info("Accepting links.",
               {{"address", Bound.m_Address}, {"port", Bound.m_Port}});
}

std::unique_ptr<platform::Appender>
Daemon::Impl::makeAppender(const std::string &ThreadName) const {
  return std::make_unique<platform::Appender>(
      platform::Appender::Options{.m_Log = m_Log,
                                  .m_Stream = m_Settings.m_Log.m_Stream,
                                  .m_Now = monotonicNow,
                                  .m_Random = randomUnit,
                                  .m_Threads = 1,
                                  .m_ThreadName = ThreadName});
}

void Daemon::Impl::makeLog() {
  m_ImageAppender = makeAppender("image-append");
  m_Images = std::make_unique<platform::ImageWriter>(
      platform::ImageWriter::Options{.m_Replica = &m_Replica,
                                     .m_Feed = &m_Feed,
                                     .m_Appender = m_ImageAppender.get(),
                                     .m_Seed = m_Self.m_Incarnation});
  m_Replica.onAdvance([this](model::LogOffset) { onAdvance(); });
  platform::LogFollower::Options Options;
  Options.m_Log = m_Log;
  Options.m_Stream = m_Settings.m_Log.m_Stream;
  Options.m_Next = [this] { return m_Feed.next(); };
  Options.m_OnRead = [this](const platform::LogRead &Read,
                            const platform::LogFreshness &Seen) {
    m_Feed.take(Read);
    m_Images->review(Read, monotonicNow());
    onLogSeen(Seen);
  };
  Options.m_OnExpired = [this](const platform::OffsetExpired &Expired) {
    m_Feed.expire(Expired);
  };
  Options.m_OnAway = [this](const platform::LogFreshness &Seen) {
    onLogSeen(Seen);
  };
  Options.m_Now = monotonicNow;
  Options.m_Random = randomUnit;
  m_Follower = std::make_unique<platform::LogFollower>(std::move(Options));
  m_Follower->start();
}

void Daemon::Impl::onLogSeen(const platform::LogFreshness &Seen) {
  post([this, Seen] { m_Spread->onLogSeen(Seen, monotonicNow()); });
}

void Daemon::Impl::makeApi() {
  ResourceApi::Options Options;
  Options.m_Replica = &m_Replica;
  Options.m_Log = m_Log;
  Options.m_Stream = m_Settings.m_Log.m_Stream;
  Options.m_Applied = [this] {
    absl::MutexLock Lock(&m_SharedMutex);
    return m_FleetApplied;
  };
  Options.m_Now = monotonicNow;
  Options.m_WallNow = wallNow;
  Options.m_Random = randomUnit;
  Options.m_Token = m_Settings.m_Api.m_Token;
  m_Api = std::make_unique<ResourceApi>(std::move(Options));
}

} // namespace knapweedloft::app
