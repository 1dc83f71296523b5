#include "ShardKeepers.h"

#include "policy/RateShard.h"

namespace knapweedloft::app {
namespace {

policy::GranteeId holderId(const policy::PeerIncarnation &Holder) {
  return policy::stableHash(Holder.m_Name, Holder.m_Incarnation);
}

policy::TokenBucket::Options limitsOf(const model::Rate &Rate) {
  return {.m_RatePerSecond = Rate.m_PerSecond, .m_Burst = Rate.m_Burst};
}

policy::TokenRequest tokenAsk(const link::wire::GrantAskT &Ask) {
  return {.m_Sequence = Ask.sequence,
          .m_Needed = Ask.needed,
          .m_Wanted = Ask.wanted,
          .m_Held = Ask.held,
          .m_Spent = Ask.spent};
}

} // namespace

void ShardKeepers::update(std::uint32_t Number,
                          const state::KeeperRecord &Record,
                          absl::Duration StopsWithin, absl::Time Now) {
  bool IsOwn = Record.m_Name == m_Self.m_Name &&
               Record.m_Incarnation == m_Self.m_Incarnation;
  if (!IsOwn) {
    m_Shards.erase(Number);
    return;
  }
  if (keeps(Number, Record.m_Epoch))
    return;
  Shard Fresh;
  Fresh.m_Epoch = Record.m_Epoch;
  bool HadKeeper = Record.m_Epoch > 1;
  Fresh.m_Starts = HadKeeper ? Now + m_Lifetime.takeoverWait(StopsWithin) : Now;
  m_Shards.insert_or_assign(Number, std::move(Fresh));
}

bool ShardKeepers::keeps(std::uint32_t Number, std::uint64_t Epoch) const {
  auto Found = m_Shards.find(Number);
  return Found != m_Shards.end() && Found->second.m_Epoch == Epoch;
}

link::wire::GrantT ShardKeepers::answer(const policy::PeerIncarnation &Holder,
                                        const link::wire::GrantAskT &Ask,
                                        const model::Rate &Limits,
                                        absl::Time Now) {
  Shard &Kept = m_Shards.at(policy::rateShardOf(Ask.customer));
  link::wire::GrantT Answer;
  Answer.customer = Ask.customer;
  Answer.epoch = Kept.m_Epoch;
  Answer.sequence = Ask.sequence;
  if (Now < Kept.m_Starts) {
    Answer.retry_after_us = absl::ToInt64Microseconds(Kept.m_Starts - Now);
    return Answer;
  }
  auto Found = Kept.m_Keepers
                   .try_emplace(Ask.customer, limitsOf(Limits), m_Lifetime,
                                Kept.m_Starts)
                   .first;
  policy::LeasedTokenBucket &Keeper = Found->second;
  if (Keeper.limits() != limitsOf(Limits))
    Keeper.setLimits(limitsOf(Limits), Now);
  policy::TokenGrant Given = Keeper.grant(holderId(Holder), tokenAsk(Ask), Now);
  Answer.sequence = Given.m_Sequence;
  Answer.tokens = Given.m_Tokens;
  Answer.lifetime_us = absl::ToInt64Microseconds(Given.m_Lifetime);
  Answer.retry_after_us = absl::ToInt64Microseconds(Given.m_RetryAfter);
  return Answer;
}

void ShardKeepers::expire(absl::Time Now) {
  for (auto &[Number, Kept] : m_Shards)
    for (auto Next = Kept.m_Keepers.begin(); Next != Kept.m_Keepers.end();) {
      auto Here = Next++;
      policy::LeasedTokenBucket &Keeper = Here->second;
      Keeper.expire(Now);
      const policy::TokenBucket::Options &Limits = Keeper.limits();
      absl::Duration FillTime =
          absl::Seconds(Limits.m_Burst / Limits.m_RatePerSecond);
      // A new bucket would be as full, since it fills from m_Starts on.
      if (Keeper.isIdle(Now) && Now - Kept.m_Starts >= FillTime)
        Kept.m_Keepers.erase(Here);
    }
}

} // namespace knapweedloft::app
