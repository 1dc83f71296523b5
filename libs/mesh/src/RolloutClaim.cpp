// The part of RolloutDirector that deals with the store: claims and outcomes.
#include "mesh/RolloutDirector.h"

#include "policy/OwnerRanking.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {

using policy::RolloutPhase;

namespace {

/// Daemons that look whether a new era of the store has lost an outcome.
constexpr std::size_t RepairRanks = 3;

} // namespace

std::size_t
RolloutDirector::rankAmong(const std::vector<RolloutPeer> &Peers) const {
  std::vector<std::string> Names{m_Options.m_Self.m_Name};
  for (const RolloutPeer &Peer : Peers)
    if (Peer.m_IsCounted)
      Names.push_back(Peer.m_Member.m_Name);
  auto Ranked = policy::rankOwners("rollout/" + m_Options.m_Order.m_Service,
                                   Names, Names.size());
  auto Own = std::find(Ranked.begin(), Ranked.end(), 0U);
  return static_cast<std::size_t>(Own - Ranked.begin());
}

absl::Time
RolloutDirector::claimTime(const std::vector<RolloutPeer> &Peers) const {
  std::size_t Rank = rankAmong(Peers);
  // After a start, the status in the store may say that all is settled.
  if (m_Known.epoch == 0 && (Rank == 0 || !m_Options.m_IsNew))
    return m_Since + m_Options.m_RankDelay * static_cast<double>(Rank);
  return std::max(m_Since, m_KnownSent) + m_Options.m_NewsLifetime +
         m_Options.m_RankDelay * static_cast<double>(Rank);
}

bool RolloutDirector::hearsMost(const std::vector<RolloutPeer> &Peers) {
  std::size_t Counted = 1;
  std::size_t Heard = 1;
  for (const RolloutPeer &Peer : Peers) {
    Counted += Peer.m_IsCounted ? 1 : 0;
    Heard += Peer.m_Link.isValid() ? 1 : 0;
  }
  return 2 * Heard > Counted;
}

void RolloutDirector::readStatus(absl::Time Now) {
  m_IsCalling = true;
  ++m_Counts.m_StoreCalls;
  m_NextStoreCall = Now + m_Options.m_StoreRetryDelay;
  m_Options.m_Hooks.m_ReadStatus([this, Alive = std::weak_ptr(m_IsAlive)](
                                     const StatusRead &Read, absl::Time Then) {
    if (Alive.expired())
      return;
    m_IsCalling = false;
    onStatusRead(Read, Then);
  });
}

bool RolloutDirector::isOwn(const RolloutStatus &Status) const {
  return Status.m_Decider == m_Life &&
         Status.m_Order.isSameAs(m_Options.m_Id) && Status.m_Epoch >= m_Epoch;
}

void RolloutDirector::onStatusRead(const StatusRead &Read, absl::Time Now) {
  if (m_IsSettled)
    return;
  if (Read.m_Outcome != StoreOutcome::Done) {
    m_NextStoreCall = Now + m_Options.m_StoreRetryDelay;
    return;
  }
  m_MustRead = false;
  bool IsOfOrder =
      Read.m_Status && Read.m_Status->m_Order.isSameAs(m_Options.m_Id);
  if (IsOfOrder && Read.m_Status->isFinal())
    return onStoredOutcome(*Read.m_Status, Now);
  bool IsFinalKnown = policy::isFinal(phase());
  if (IsOfOrder && isOwn(*Read.m_Status) && !IsFinalKnown) {
    m_End = Read.m_End;
    return startDeciding(Read.m_Status->m_Epoch, Now);
  }
  if (isDeciding() && IsOfOrder && Read.m_Status->m_Epoch > m_Epoch)
    return giveUp("Another daemon has claimed the order.", Now);
  takeOver(Read, Now);
}

void RolloutDirector::takeOver(const StatusRead &Read, absl::Time Now) {
  std::uint64_t Former = Read.m_Status ? Read.m_Status->m_Epoch : 0;
  bool IsOutcomeKnown = policy::isFinal(phase()) ||
                        (isDeciding() && policy::isFinal(m_Command.m_Phase));
  if (IsOutcomeKnown) {
    m_Epoch = std::max({m_Epoch, m_Known.epoch, Former}) + 1;
    return writeOutcome(Read.m_End, Now);
  }
  if (!isDeciding() && isFresh(Now))
    return;
  absl::Time QuietUntil = m_Since + m_Options.m_NewsLifetime;
  if (!isDeciding() && !m_Options.m_IsNew && Now < QuietUntil) {
    // Another daemon may decide, and this one has just started.
    m_NextStoreCall = QuietUntil;
    return;
  }
  auto Peers = m_Options.m_Hooks.m_Peers(Now);
  if (!isDeciding() && Peers && Read.m_Status &&
      isClaimYoung(*Read.m_Status, *Peers, Now))
    return;
  if (!isDeciding() && (!Peers || !hearsMost(*Peers))) {
    m_NextStoreCall = Now + m_Options.m_RereadInterval;
    return;
  }
  claim(Read.m_Status, Read.m_End, Now);
}

bool RolloutDirector::isClaimYoung(const RolloutStatus &Status,
                                   const std::vector<RolloutPeer> &Peers,
                                   absl::Time Now) {
  if (!Status.m_Order.isSameAs(m_Options.m_Id) ||
      Status.m_Epoch <= m_Known.epoch)
    return false;
  if (Status.m_Epoch != m_SeenEpoch) {
    m_SeenEpoch = Status.m_Epoch;
    m_SeenAt = Now;
  }
  // The answer to a claim may be lost; its daemon then has to read first.
  absl::Time Until =
      m_SeenAt + m_Options.m_NewsLifetime +
      m_Options.m_RankDelay * static_cast<double>(1 + rankAmong(Peers));
  m_NextStoreCall = std::max(m_NextStoreCall, Until);
  return Now < Until;
}

RolloutStatus RolloutDirector::statusOf(RolloutOutcome Outcome,
                                        std::uint64_t Epoch) const {
  return {.m_Service = m_Options.m_Order.m_Service,
          .m_Outcome = Outcome,
          .m_Order = m_Options.m_Id,
          .m_Epoch = Epoch,
          .m_Decider = m_Life};
}

void RolloutDirector::claim(const std::optional<RolloutStatus> &Former,
                            std::uint64_t At, absl::Time Now) {
  std::uint64_t Epoch =
      std::max({m_Epoch, m_Known.epoch, Former ? Former->m_Epoch : 0}) + 1;
  m_IsCalling = true;
  ++m_Counts.m_StoreCalls;
  m_NextStoreCall = Now + m_Options.m_StoreRetryDelay;
  m_Options.m_Hooks.m_WriteStatus(
      statusOf(RolloutOutcome::InProgress, Epoch), At,
      [this, Alive = std::weak_ptr(m_IsAlive), At, Epoch](StoreOutcome Outcome,
                                                          absl::Time Then) {
        if (Alive.expired())
          return;
        m_IsCalling = false;
        if (m_IsSettled)
          return;
        if (Outcome == StoreOutcome::Done) {
          m_End = At + 1;
          startDeciding(Epoch, Then);
        } else {
          // Without an answer, the next read shows whether it was done.
          m_NextStoreCall = Outcome == StoreOutcome::Conflict
                                ? Then
                                : Then + m_Options.m_StoreRetryDelay;
        }
      });
}

void RolloutDirector::startDeciding(std::uint64_t Epoch, absl::Time Now) {
  m_MustVerify = false;
  bool IsTakeOver = !isDeciding() || Epoch != m_Epoch;
  m_Epoch = Epoch;
  if (IsTakeOver) {
    ++m_Counts.m_Claims;
    m_Log.state("Decides a roll-out.",
                {{"service", m_Options.m_Order.m_Service},
                 {"version", m_Options.m_Id.m_TargetVersion},
                 {"epoch", Epoch},
                 {"phase", policy::RolloutPhaseNames.nameOf(phase())},
                 {"left", deadline() - Now}});
  }
  if (!isDeciding()) {
    m_Plan = std::make_unique<policy::RolloutPlan>(
        m_Options.m_Plan, m_Options.m_Order, phase(), Now);
    m_Command = {};
    if (phase() == RolloutPhase::RolledBack)
      adoptRollback("another daemon had rolled it back");
  }
  m_NextStoreCall = absl::InfinitePast();
  decide(Now);
}

void RolloutDirector::writeOutcome(std::uint64_t At, absl::Time Now) {
  RolloutPhase Final = isDeciding() ? m_Command.m_Phase : phase();
  RolloutStatus Written =
      statusOf(Final == RolloutPhase::Completed ? RolloutOutcome::Completed
                                                : RolloutOutcome::RolledBack,
               m_Epoch);
  m_IsCalling = true;
  ++m_Counts.m_StoreCalls;
  m_NextStoreCall = Now + m_Options.m_StoreRetryDelay;
  m_Options.m_Hooks.m_WriteStatus(
      Written, At,
      [this, Alive = std::weak_ptr(m_IsAlive), Written](StoreOutcome Outcome,
                                                        absl::Time Then) {
        if (Alive.expired())
          return;
        m_IsCalling = false;
        onOutcomeWritten(Outcome, Written, Then);
      });
}

void RolloutDirector::onOutcomeWritten(StoreOutcome Outcome,
                                       const RolloutStatus &Written,
                                       absl::Time Now) {
  if (m_IsSettled)
    return;
  if (Outcome == StoreOutcome::Done)
    return onStoredOutcome(Written, Now);
  m_MustRead = Outcome != StoreOutcome::Refused;
  m_NextStoreCall = Outcome == StoreOutcome::Conflict
                        ? Now
                        : Now + m_Options.m_StoreRetryDelay;
}

void RolloutDirector::onStoredOutcome(const RolloutStatus &Status,
                                      absl::Time Now) {
  m_Plan.reset();
  m_MustVerify = m_MustRead = false;
  m_IsSettled = true;
  bool IsCompleted = Status.m_Outcome == RolloutOutcome::Completed;
  m_Log.state("The outcome of a roll-out stands.",
              {{"service", m_Options.m_Order.m_Service},
               {"version", m_Options.m_Id.m_TargetVersion},
               {"outcome", RolloutOutcomeNames.nameOf(Status.m_Outcome)},
               {"epoch", Status.m_Epoch},
               {"decider", Status.m_Decider}});
  wire::RolloutNewsT News = m_Known;
  News.target_version = m_Options.m_Id.m_TargetVersion;
  News.order_era = m_Options.m_Id.m_Era;
  News.order_offset = m_Options.m_Id.m_Offset;
  News.epoch = Status.m_Epoch;
  News.decider = m_Options.m_Self.m_Name;
  News.phase = static_cast<std::uint8_t>(
      IsCompleted ? RolloutPhase::Completed : RolloutPhase::RolledBack);
  News.exposure = IsCompleted ? 1 : 0;
  News.left_us = absl::ToInt64Microseconds(deadline() - Now);
  News.is_stored = true;
  adopt(News, Now, Now);
  if (auto Peers = m_Options.m_Hooks.m_Peers(Now))
    for (const RolloutPeer &Peer : *Peers)
      send(Peer.m_Link, Now);
}

void RolloutDirector::onNewEra(std::uint64_t Era, absl::Time Now) {
  m_Era = std::max(m_Era, Era);
  if (isDeciding() && !m_IsCalling)
    return readStatus(Now);
  auto Peers = m_Options.m_Hooks.m_Peers(Now);
  if (!m_IsSettled || !Peers || rankAmong(*Peers) >= RepairRanks)
    return;
  m_IsSettled = false;
  m_Since = Now;
}

} // namespace knapweedloft::mesh
