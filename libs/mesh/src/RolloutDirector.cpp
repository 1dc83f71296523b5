#include "mesh/RolloutDirector.h"

#include "fmt/format.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace knapweedloft::mesh {

using policy::RolloutPhase;

namespace {

std::pair<std::uint64_t, std::uint64_t>
positionOf(const wire::RolloutNewsT &News) {
  return {News.epoch, News.sequence};
}

RolloutPhase phaseOf(const wire::RolloutNewsT &News) {
  return static_cast<RolloutPhase>(News.phase);
}

} // namespace

RolloutDirector::RolloutDirector(Options Settings, ComponentLog Log,
                                 absl::Time Now)
    : m_Options(std::move(Settings)), m_Log(Log),
      m_Life(fmt::format("{}/{:016x}", m_Options.m_Self.m_Name,
                         m_Options.m_Self.m_Incarnation)),
      m_Era(m_Options.m_Id.m_Era), m_Since(Now), m_LastTick(Now) {
  m_Known.service = m_Options.m_Order.m_Service;
  m_Known.exposure = 0;
}

RolloutPhase RolloutDirector::phase() const { return phaseOf(m_Known); }

std::string RolloutDirector::decider(absl::Time Now) const {
  if (isDeciding())
    return m_Options.m_Self.m_Name;
  return isFresh(Now) && !m_IsSettled ? m_Known.decider : std::string();
}

void RolloutDirector::tick(absl::Time Now) {
  bool WasPaused = Now - m_LastTick > m_Options.m_MaxPause;
  m_LastTick = Now;
  if (m_IsSettled)
    return;
  if (WasPaused) {
    // What was sent meanwhile may wait in the links.
    m_Since = Now;
    m_MustVerify = isDeciding();
  }
  if (isDeciding() && !m_MustVerify)
    return decide(Now);
  if (m_IsCalling || Now < m_NextStoreCall)
    return;
  auto Peers = m_Options.m_Hooks.m_Peers(Now);
  if (!Peers) {
    // Daemons of other services do not hear the outcome.
    m_NextStoreCall = Now + m_Options.m_RereadInterval;
    return;
  }
  if (m_MustVerify || Now >= claimTime(*Peers))
    readStatus(Now);
}

void RolloutDirector::decide(absl::Time Now) {
  auto Peers = m_Options.m_Hooks.m_Peers(Now);
  if (!Peers)
    return giveUp("The service has daemons of its own now.", Now);
  if (m_IsRollbackHeard && !m_IsCalling &&
      m_Command.m_Phase == RolloutPhase::Completed)
    adoptRollback("another daemon had rolled it back");
  RolloutPhase FormerPhase = m_Command.m_Phase;
  double FormerShare = m_Command.m_Share;
  if (!policy::isFinal(FormerPhase))
    m_Command = m_Plan->update(Now);
  bool IsChanged =
      m_Command.m_Phase != FormerPhase || m_Command.m_Share != FormerShare;
  if (m_Command.m_Phase != FormerPhase)
    logPhase(m_Command.m_Reason);
  if (IsChanged || Now >= m_NextNews)
    tell(*Peers, Now);
  if (!policy::isFinal(m_Command.m_Phase) || m_IsCalling ||
      Now < m_NextStoreCall)
    return;
  if (m_MustRead)
    readStatus(Now);
  else
    writeOutcome(m_End, Now);
}

void RolloutDirector::tell(const std::vector<RolloutPeer> &Peers,
                           absl::Time Now) {
  m_NextNews = Now + m_Options.m_NewsInterval;
  // It is not complete before that is written. Until then it has the traffic.
  bool IsUnwritten = m_Command.m_Phase == RolloutPhase::Completed;
  m_Known.target_version = m_Options.m_Id.m_TargetVersion;
  m_Known.order_era = m_Options.m_Id.m_Era;
  m_Known.order_offset = m_Options.m_Id.m_Offset;
  m_Known.epoch = m_Epoch;
  ++m_Known.sequence;
  m_Known.decider = m_Options.m_Self.m_Name;
  m_Known.phase = static_cast<std::uint8_t>(
      IsUnwritten ? RolloutPhase::Switching : m_Command.m_Phase);
  m_Known.exposure = IsUnwritten ? 1 : static_cast<float>(m_Command.m_Share);
  m_Known.left_us = absl::ToInt64Microseconds(deadline() - Now);
  m_KnownSent = Now;
  auto ForOne = [&](const model::Member &To) {
    wire::RolloutNewsT News = m_Known;
    auto Found = m_Command.m_Allowances.find(To.m_Name);
    bool IsKnown = Found != m_Command.m_Allowances.end();
    if (IsUnwritten)
      News.allowances.emplace_back(To.m_Incarnation,
                                   std::numeric_limits<std::uint64_t>::max());
    else if (IsKnown)
      News.allowances.emplace_back(To.m_Incarnation, Found->second);
    return News;
  };
  m_Options.m_Hooks.m_OnNews(ForOne(m_Options.m_Self), Now);
  for (const RolloutPeer &Peer : Peers)
    if (Peer.m_Link.isValid())
      m_Options.m_Hooks.m_Send(Peer.m_Link, ForOne(Peer.m_Member));
}

void RolloutDirector::send(link::PeerHandle To, absl::Time Now) {
  if (m_Known.epoch == 0 || !To.isValid())
    return;
  wire::RolloutNewsT News = m_Known;
  News.age_us = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, absl::ToInt64Microseconds(Now - m_KnownSent)));
  m_Options.m_Hooks.m_Send(To, News);
}

void RolloutDirector::onLinkUp(link::PeerHandle Link, absl::Time Now) {
  send(Link, Now);
}

void RolloutDirector::giveUp(const char *Why, absl::Time Now) {
  m_Log.state("No longer decides a roll-out.",
              {{"service", m_Options.m_Order.m_Service},
               {"version", m_Options.m_Id.m_TargetVersion},
               {"epoch", m_Epoch},
               {"why", Why}});
  ++m_Counts.m_Handovers;
  m_Plan.reset();
  m_Command = {};
  m_MustVerify = m_MustRead = false;
  m_Since = Now;
}

void RolloutDirector::adoptRollback(const std::string &Why) {
  if (m_Command.m_Phase == RolloutPhase::RolledBack)
    return;
  m_Command = {.m_Phase = RolloutPhase::RolledBack, .m_Reason = Why};
  m_NextNews = absl::InfinitePast();
  logPhase(Why);
}

void RolloutDirector::adopt(const wire::RolloutNewsT &News, absl::Time Sent,
                            absl::Time Now) {
  std::uint64_t Epoch = std::max(m_Known.epoch, News.epoch);
  std::uint64_t Sequence = std::max(m_Known.sequence, News.sequence) + 1;
  m_Known = News;
  m_Known.epoch = Epoch;
  m_Known.sequence = Sequence;
  m_KnownSent = Sent;
  m_Options.m_Hooks.m_OnNews(m_Known, Now);
}

/// The store may have lost what stood there in an older era. The outcome counts
/// all the same, and is written again unless it is found.
void RolloutDirector::adoptStored(wire::RolloutNewsT News, absl::Time Sent,
                                  absl::Time Now) {
  News.is_stored = News.order_era >= m_Era;
  adopt(News, Sent, Now);
  m_Plan.reset();
  m_IsSettled = News.is_stored;
}

void RolloutDirector::noteDeadline(const wire::RolloutNewsT &News,
                                   absl::Time Now) {
  absl::Time Deadline =
      Now + absl::Microseconds(News.left_us) - absl::Microseconds(News.age_us);
  // This daemon may have learnt of the order later than the sender.
  absl::Time Received = Deadline - m_Options.m_Order.m_Duration;
  m_Options.m_Order.m_Received =
      std::min(m_Options.m_Order.m_Received, Received);
}

void RolloutDirector::onNews(link::PeerHandle From,
                             const wire::RolloutNewsT &News, absl::Time Now) {
  RolloutOrderId Of{.m_Era = News.order_era,
                    .m_Offset = News.order_offset,
                    .m_TargetVersion = News.target_version};
  if (!Of.isSameAs(m_Options.m_Id))
    return;
  noteDeadline(News, Now);
  absl::Time Sent = Now - absl::Microseconds(News.age_us);
  bool IsRollback = phaseOf(News) == RolloutPhase::RolledBack;
  if (m_IsSettled) {
    if (!News.is_stored)
      send(From, Now);
  } else if (News.is_stored) {
    adoptStored(News, Sent, Now);
  } else if (IsRollback && isDeciding()) {
    m_IsRollbackHeard = true;
    if (m_Command.m_Phase != RolloutPhase::Completed)
      adoptRollback("another daemon had rolled it back");
  } else if (IsRollback && phase() != RolloutPhase::RolledBack) {
    adopt(News, Sent, Now);
  } else if (!IsRollback && phase() == RolloutPhase::RolledBack) {
    send(From, Now);
  } else if (positionOf(News) > positionOf(m_Known)) {
    if (isDeciding())
      giveUp("Another daemon decides.", Now);
    m_Known = News;
    m_KnownSent = Sent;
    m_Options.m_Hooks.m_OnNews(News, Now);
  }
}

void RolloutDirector::onSample(const policy::RolloutSample &Sample,
                               absl::Time Now) {
  if (m_Plan)
    m_Plan->onSample(Sample, Now);
}

void RolloutDirector::onDaemonLost(const std::string &Daemon, absl::Time Now) {
  if (m_Plan)
    m_Plan->onDaemonLost(Daemon, Now);
}

void RolloutDirector::onOrderRemoved(absl::Time Now) {
  if (policy::isFinal(phase()))
    return;
  if (isDeciding()) {
    m_IsRollbackHeard = true;
    if (m_Command.m_Phase != RolloutPhase::Completed)
      adoptRollback("the operator removed the order");
    return;
  }
  wire::RolloutNewsT News = m_Known;
  News.target_version = m_Options.m_Id.m_TargetVersion;
  News.order_era = m_Options.m_Id.m_Era;
  News.order_offset = m_Options.m_Id.m_Offset;
  News.phase = static_cast<std::uint8_t>(RolloutPhase::RolledBack);
  News.exposure = 0;
  adopt(News, m_KnownSent, Now);
}

void RolloutDirector::logPhase(std::string_view Reason) const {
  m_Log.state("The phase of a roll-out changed.",
              {{"service", m_Options.m_Order.m_Service},
               {"version", m_Options.m_Id.m_TargetVersion},
               {"phase", policy::RolloutPhaseNames.nameOf(m_Command.m_Phase)},
               {"why", Reason},
               {"epoch", m_Epoch},
               {"left", deadline() - m_LastTick}});
}

} // namespace knapweedloft::mesh
