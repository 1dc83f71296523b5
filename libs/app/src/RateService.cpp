#include "app/RateService.h"

#include "KeeperClaims.h"
#include "RateHolder.h"
#include "ShardKeepers.h"
#include "policy/RateShard.h"

#include <atomic>
#include <optional>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr absl::Duration ClaimInterval = absl::Milliseconds(250);
constexpr absl::Duration ExpireInterval = absl::Seconds(1);

} // namespace

class RateService::Impl {
public:
  Impl(Options Settings, const state::SnapshotStore &Store, Hooks Surroundings)
      : m_Settings(std::move(Settings)), m_Store(Store),
        m_Hooks(std::move(Surroundings)),
        m_Self{m_Settings.m_Self.m_Name, m_Settings.m_Self.m_Incarnation},
        m_Holder({.m_Allotment = m_Settings.m_Allotment,
                  .m_MaxWaiting = m_Settings.m_MaxWaiting,
                  .m_Patience = m_Settings.m_Patience},
                 Store, holderHooks()),
        m_Keepers(m_Self, m_Settings.m_Lifetime),
        m_Claims({.m_Self = m_Self,
                  .m_Turn = m_Settings.m_ClaimTurn,
                  .m_StopsWithin = m_Settings.m_StopsWithin}) {}

  bool onMessage(const policy::PeerIncarnation &From,
                 const link::wire::MessageUnion &Message, absl::Time Now) {
    if (const link::wire::GrantAskT *Ask = Message.AsGrantAsk()) {
      if (std::optional<link::wire::GrantT> Grant = answer(From, *Ask, Now))
        m_Hooks.m_SendGrant(From.m_Name, std::move(*Grant));
      return true;
    }
    if (const link::wire::GrantT *Grant = Message.AsGrant()) {
      m_Holder.onGrant(*Grant, Now);
      return true;
    }
    return false;
  }

  void onSnapshot(absl::Time Now) {
    state::SnapshotPtr State = m_Store.share();
    for (std::uint32_t Shard = 0; Shard < policy::RateShardCount; ++Shard) {
      state::KeeperRecord Record = State->keeperOf(Shard);
      m_Claims.onRecord(Shard, Record, Now);
      m_Keepers.update(Shard, Record,
                       m_Claims.stopsWithin(*State, Shard, Record.m_Epoch, Now),
                       Now);
    }
    m_Counters.m_KeptShards = m_Keepers.size();
  }

  void tick(absl::Time Now) {
    m_Holder.tick(Now);
    if (Now >= m_ClaimAt)
      claim(Now);
    if (Now < m_ExpireAt)
      return;
    m_ExpireAt = Now + ExpireInterval;
    m_Keepers.expire(Now);
  }

  const Options m_Settings;
  const state::SnapshotStore &m_Store;
  const Hooks m_Hooks;
  const policy::PeerIncarnation m_Self;
  RateHolder m_Holder;
  ShardKeepers m_Keepers;
  KeeperClaims m_Claims;
  Counters m_Counters;
  std::atomic<bool> m_IsStopped{false};

private:
  RateHolder::Hooks holderHooks() {
    RateHolder::Hooks Made;
    Made.m_SendAsk = [this](const std::string &Keeper,
                            link::wire::GrantAskT Ask, absl::Time Now) {
      sendAsk(Keeper, std::move(Ask), Now);
    };
    Made.m_Post = m_Hooks.m_Post;
    return Made;
  }

  void sendAsk(const std::string &Keeper, link::wire::GrantAskT Ask,
               absl::Time Now) {
    ++m_Counters.m_Asks;
    if (Keeper != m_Self.m_Name) {
      m_Hooks.m_SendAsk(Keeper, std::move(Ask));
      return;
    }
    // Posted, since the holder is in the midst of asking. Answered by the time
    // of the ask: what is granted lapses by that time, too.
    m_Hooks.m_Post(
        [this, Ask = std::move(Ask), Now](absl::Time) { answerSelf(Ask, Now); },
        absl::ZeroDuration());
  }

  void answerSelf(const link::wire::GrantAskT &Ask, absl::Time Now) {
    if (std::optional<link::wire::GrantT> Grant = answer(m_Self, Ask, Now))
      m_Holder.onGrant(*Grant, Now);
  }

  std::optional<link::wire::GrantT> answer(const policy::PeerIncarnation &From,
                                           const link::wire::GrantAskT &Ask,
                                           absl::Time Now) {
    std::uint32_t Shard = policy::rateShardOf(Ask.customer);
    if (m_IsStopped.load() || !m_Keepers.keeps(Shard, Ask.epoch))
      return std::nullopt;
    state::SnapshotPtr State = m_Store.share();
    const model::Rate *Limits = State->findRate(Ask.customer);
    if (!Limits || !m_Hooks.m_MayKeep(Now))
      return std::nullopt;
    ++m_Counters.m_Answers;
    link::wire::GrantT Grant = m_Keepers.answer(From, Ask, *Limits, Now);
    if (Grant.sequence == 0)
      return std::nullopt;
    return Grant;
  }

  void claim(absl::Time Now) {
    m_ClaimAt = Now + ClaimInterval;
    if (m_IsStopped.load() || !m_Hooks.m_MayKeep(Now))
      return;
    for (state::KeeperClaim &Claim :
         m_Claims.claims(*m_Store.share(), m_Hooks.m_IsAlive, Now)) {
      ++m_Counters.m_Claims;
      m_Hooks.m_Claim(std::move(Claim));
    }
  }

  absl::Time m_ClaimAt = absl::InfinitePast();
  absl::Time m_ExpireAt = absl::InfinitePast();
};

RateService::RateService(Options Settings, const state::SnapshotStore &Store,
                         Hooks Surroundings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings), Store,
                                    std::move(Surroundings))) {}

RateService::~RateService() = default;

void RateService::acquire(const std::string &Customer, absl::Time Now,
                          absl::Duration MaxWait,
                          std::function<void(const RateDecision &)> Done) {
  m_Impl->m_Holder.acquire(Customer, Now, MaxWait, std::move(Done));
}

bool RateService::onMessage(const policy::PeerIncarnation &From,
                            const link::wire::MessageUnion &Message,
                            absl::Time Now) {
  return m_Impl->onMessage(From, Message, Now);
}

void RateService::onSnapshot(absl::Time Now) { m_Impl->onSnapshot(Now); }

void RateService::onLeave(const policy::PeerIncarnation &Who) {
  m_Impl->m_Claims.onLeave(Who);
}

void RateService::tick(absl::Time Now) { m_Impl->tick(Now); }

void RateService::stopKeeping() { m_Impl->m_IsStopped.store(true); }

RateService::Counters RateService::counters() const {
  return m_Impl->m_Counters;
}

} // namespace knapweedloft::app
