#include "mesh/Rollouts.h"

#include "mesh/RolloutMessages.h"

#include "fmt/format.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace knapweedloft::mesh {

Rollouts::Rollouts(Options Settings, ComponentLog Log)
    : m_Options(std::move(Settings)), m_Log(Log),
      m_Target({.m_Self = m_Options.m_Self.m_Incarnation,
                .m_HeaderNames = m_Options.m_HeaderNames}) {}

void Rollouts::onRecordsRead() {
  m_HasRecords = true;
  m_Target.onRecordsRead();
}

void Rollouts::onOrder(const RolloutOrder &Order, const StoredRecord &Record,
                       absl::Time Now) {
  auto Found = m_Directors.find(Order.m_Service);
  RolloutOrderId Id{.m_Era = Record.m_Era,
                    .m_Offset = Record.m_Offset,
                    .m_TargetVersion = Order.m_TargetVersion};
  if (Order.m_IsRemoved) {
    m_Log.state("The order of a roll-out was removed.",
                {{"service", Order.m_Service},
                 {"era", Id.m_Era},
                 {"offset", Id.m_Offset}});
    if (Found != m_Directors.end())
      Found->second->onOrderRemoved(Now);
    return;
  }
  bool IsKnown = Found != m_Directors.end() && Found->second->id().isSameAs(Id);
  m_Log.state(IsKnown ? "The order of a roll-out was read again."
                      : "A roll-out was ordered.",
              {{"service", Order.m_Service},
               {"version", Order.m_TargetVersion},
               {"within", Order.m_Duration},
               {"new", m_HasRecords},
               {"replaces", Found != m_Directors.end() && !IsKnown
                                ? Found->second->id().m_TargetVersion
                                : std::string()},
               {"era", Id.m_Era},
               {"offset", Id.m_Offset}});
  if (IsKnown) {
    Found->second->setId(Id);
  } else {
    ++m_Orders;
    m_Directors[Order.m_Service] = makeDirector(Order, Id, Now);
  }
  if (Order.m_Service == m_Options.m_Self.m_Service)
    m_Target.setOrder(Id, Now);
}

std::unique_ptr<RolloutDirector>
Rollouts::makeDirector(const RolloutOrder &Order, const RolloutOrderId &Id,
                       absl::Time Now) {
  const std::string &Service = Order.m_Service;
  RolloutDirector::Options Options;
  Options.m_Self = m_Options.m_Self;
  Options.m_Id = Id;
  Options.m_Order = {.m_Service = Service,
                     .m_TargetVersion = Order.m_TargetVersion,
                     .m_Received = Now,
                     .m_Duration = Order.m_Duration};
  Options.m_IsNew = m_HasRecords;
  Options.m_Plan.m_ExposureShare = m_Options.m_Settings.m_ExposureShare;
  Options.m_Plan.m_ExposureSlack = m_Options.m_Settings.m_ExposureSlack;
  Options.m_Plan.m_RollbackTime = m_Options.m_Settings.m_RollbackTime;
  Options.m_Hooks.m_Peers = [this, Service](absl::Time When) {
    return decidersOf(Service, When);
  };
  Options.m_Hooks.m_Send = m_Options.m_Hooks.m_SendNews;
  Options.m_Hooks.m_OnNews = [this, Service](const wire::RolloutNewsT &News,
                                             absl::Time When) {
    if (Service == m_Options.m_Self.m_Service)
      m_Target.onNews(News, When);
  };
  Options.m_Hooks.m_ReadStatus = [this, Service](const auto &Then) {
    readStatus(Service, Then);
  };
  Options.m_Hooks.m_WriteStatus = [this](const RolloutStatus &Status,
                                         std::uint64_t At,
                                         StorePort::OnWritten OnWritten) {
    m_Options.m_Ports.m_Store.m_WriteAt(
        m_Options.m_Ports.m_StatusTopic,
        m_Options.m_Ports.m_EncodeRolloutStatus(Status), At,
        std::move(OnWritten));
  };
  return std::make_unique<RolloutDirector>(std::move(Options), m_Log, Now);
}

void Rollouts::readStatus(
    const std::string &Service,
    const std::function<void(RolloutDirector::StatusRead, absl::Time)> &Then) {
  m_Options.m_Ports.m_Store.m_ReadNewest(
      m_Options.m_Ports.m_StatusTopic,
      [Decode = m_Options.m_Ports.m_DecodeRolloutStatus, Service,
       Then](const StoreReadResult &Read, absl::Time Now) {
        RolloutDirector::StatusRead Result{.m_Outcome = Read.m_Outcome,
                                           .m_End = Read.m_End};
        for (const StoredRecord &Record : Read.m_Records) {
          auto Status = Decode(Record);
          if (Status && Status->m_Service == Service)
            Result.m_Status = std::move(Status);
        }
        Then(std::move(Result), Now);
      });
}

std::optional<std::vector<RolloutPeer>>
Rollouts::decidersOf(const std::string &Service, absl::Time Now) const {
  std::vector<RolloutPeer> All = m_Options.m_Hooks.m_Peers(Now);
  std::vector<RolloutPeer> OfService;
  std::copy_if(All.begin(), All.end(), std::back_inserter(OfService),
               [&](const RolloutPeer &Peer) {
                 return Peer.m_Member.m_Service == Service;
               });
  if (m_Options.m_Self.m_Service == Service)
    return OfService;
  bool HasDaemons =
      std::any_of(OfService.begin(), OfService.end(),
                  [](const RolloutPeer &Peer) { return Peer.m_IsCounted; });
  if (HasDaemons)
    return std::nullopt;
  return All;
}

void Rollouts::onNews(link::PeerHandle From, const wire::RolloutNewsT &News,
                      absl::Time Now) {
  auto Found = m_Directors.find(News.service);
  if (Found != m_Directors.end())
    Found->second->onNews(From, News, Now);
}

void Rollouts::onSample(const model::Member &From,
                        const wire::RolloutSampleT &Message, absl::Time Now) {
  auto Found = m_Directors.find(From.m_Service);
  if (Found == m_Directors.end())
    return;
  RolloutOrderId Of = Found->second->id();
  Of.m_Era = Message.order_era;
  Of.m_Offset = Message.order_offset;
  if (Of.isSameAs(Found->second->id()))
    Found->second->onSample(fromWire(Message, From), Now);
}

void Rollouts::onLinkUp(link::PeerHandle Link, const model::Member &Member,
                        absl::Time Now) {
  for (auto &[Service, Director] : m_Directors)
    if (Member.m_Service == Service)
      Director->onLinkUp(Link, Now);
}

void Rollouts::onDaemonLost(const model::Member &Member, absl::Time Now) {
  auto Found = m_Directors.find(Member.m_Service);
  if (Found != m_Directors.end())
    Found->second->onDaemonLost(Member.m_Name, Now);
}

void Rollouts::onNewEra(std::uint64_t Era, absl::Time Now) {
  for (auto &[Service, Director] : m_Directors)
    Director->onNewEra(Era, Now);
}

void Rollouts::sendSample(RolloutDirector &To, absl::Time Now) {
  std::string Decider = To.decider(Now);
  if (Decider.empty())
    return;
  policy::RolloutSample Sample;
  Sample.m_Daemon = m_Options.m_Self.m_Name;
  Sample.m_Incarnation = m_Options.m_Self.m_Incarnation;
  m_Options.m_Hooks.m_FillSample(Sample, Now);
  if (Decider == m_Options.m_Self.m_Name)
    return To.onSample(Sample, Now);
  for (const RolloutPeer &Peer : m_Options.m_Hooks.m_Peers(Now))
    if (Peer.m_Member.m_Name == Decider && Peer.m_Link.isValid())
      m_Options.m_Hooks.m_SendSample(Peer.m_Link, toWire(Sample, To.id()));
}

void Rollouts::tick(absl::Time Now) {
  auto Own = m_Directors.find(m_Options.m_Self.m_Service);
  if (Own != m_Directors.end() && Now >= m_NextSample) {
    m_NextSample = Now + m_Options.m_SampleInterval;
    sendSample(*Own->second, Now);
  }
  for (auto &[Service, Director] : m_Directors)
    Director->tick(Now);
}

const RolloutDirector *Rollouts::find(const std::string &Service) const {
  auto Found = m_Directors.find(Service);
  return Found == m_Directors.end() ? nullptr : Found->second.get();
}

void Rollouts::appendMetrics(std::string &Text, absl::Time Now) const {
  auto Append = [&Text](std::string_view Name, std::string_view Labels,
                        double Value) {
    fmt::format_to(std::back_inserter(Text), "knapweedloft_rollout_{}{} {}\n",
                   Name, Labels, Value);
  };
  Append("orders_total", "", static_cast<double>(m_Orders));
  Append("unreadable_orders_total", "", static_cast<double>(m_Unreadable));
  Append("refused_total", "", static_cast<double>(m_Target.refused()));
  Append("accepted", "", static_cast<double>(m_Target.gate().accepted()));
  Append("exposure", "", m_Target.exposure(Now));
  for (const auto &[Service, Director] : m_Directors) {
    std::string Labels = fmt::format(R"({{service="{}",version="{}"}})",
                                     Service, Director->id().m_TargetVersion);
    Append("phase", Labels, static_cast<double>(Director->phase()));
    Append("share", Labels, Director->exposure());
    Append("epoch", Labels, static_cast<double>(Director->epoch()));
    Append("deciding", Labels, Director->isDeciding() ? 1 : 0);
    Append("settled", Labels, Director->isSettled() ? 1 : 0);
    const RolloutDirector::Counts &Counts = Director->counts();
    Append("claims_total", Labels, static_cast<double>(Counts.m_Claims));
    Append("handovers_total", Labels, static_cast<double>(Counts.m_Handovers));
    Append("store_calls_total", Labels,
           static_cast<double>(Counts.m_StoreCalls));
  }
}

} // namespace knapweedloft::mesh
