#include "policy/RateKeeper.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Part of the level that one ask may take ahead of demand, so that a holder
/// with calls waiting finds tokens.
constexpr double AheadShare = 0.25;

/// Holders that were given too little ask again within this part of the time
/// in which the bucket fills, so that it never fills while calls are refused.
constexpr double RetryShare = 0.25;

constexpr absl::Duration LeastRetry = absl::Milliseconds(1);

} // namespace

RateKeeper::RateKeeper(const TokenBucket::Options &Limits,
                       const GrantLifetime &Lifetime, absl::Time Started)
    : m_Bucket(Limits, Started), m_Lifetime(Lifetime) {}

TokenGrant RateKeeper::grant(HolderId Holder, const TokenAsk &Ask,
                             absl::Time Now) {
  expire(Now);
  HolderState &State = m_Holders[Holder];
  if (Ask.m_Sequence <= State.m_Sequence)
    return {};
  State.m_Sequence = Ask.m_Sequence;
  settle(State, Ask, Now);
  double Tokens = tokensFor(Ask, Now);
  if (Tokens > 0 && !m_Bucket.tryTake(Tokens, Now))
    Tokens = 0;
  setOutstanding(State, State.m_Outstanding + Tokens, Now);
  State.m_Expires = m_Lifetime.keeperExpiry(Now);
  m_NextExpiry = std::min(m_NextExpiry, State.m_Expires);
  setShort(State, Tokens < Ask.m_Needed);
  TokenGrant Given;
  Given.m_Sequence = Ask.m_Sequence;
  Given.m_Tokens = Tokens;
  Given.m_Lifetime = m_Lifetime.m_Lifetime;
  if (State.m_IsShort)
    Given.m_RetryAfter = retryAfter(Now);
  return Given;
}

void RateKeeper::setLimits(const TokenBucket::Options &Limits, absl::Time Now) {
  m_Bucket.setLimits(Limits, Now);
}

void RateKeeper::expire(absl::Time Now) {
  if (Now < m_NextExpiry)
    return;
  m_NextExpiry = absl::InfiniteFuture();
  for (auto Next = m_Holders.begin(); Next != m_Holders.end();) {
    auto Here = Next++;
    if (Now < Here->second.m_Expires) {
      m_NextExpiry = std::min(m_NextExpiry, Here->second.m_Expires);
      continue;
    }
    setShort(Here->second, false);
    setOutstanding(Here->second, 0, Now);
    m_Holders.erase(Here);
  }
}

bool RateKeeper::isIdle(absl::Time Now) const {
  return m_Holders.empty() && m_Bucket.level(Now) >= m_Bucket.limits().m_Burst;
}

void RateKeeper::settle(HolderState &State, const TokenAsk &Ask,
                        absl::Time Now) {
  double Spent = std::max(0.0, Ask.m_Spent - State.m_Spent);
  State.m_Spent = std::max(State.m_Spent, Ask.m_Spent);
  double Before = State.m_Outstanding;
  double Held = std::clamp(Ask.m_Held, 0.0, Before);
  double Unspent = std::max(0.0, Before - Held - Spent);
  setOutstanding(State, Held, Now);
  m_Bucket.putBack(Unspent, Now);
}

void RateKeeper::setOutstanding(HolderState &State, double Tokens,
                                absl::Time Now) {
  m_Outstanding += Tokens - State.m_Outstanding;
  State.m_Outstanding = Tokens;
  if (m_Holders.size() == 1)
    m_Outstanding = Tokens; // Rounding errors end here.
  m_Bucket.reserve(m_Outstanding, Now);
}

void RateKeeper::setShort(HolderState &State, bool IsShort) {
  if (State.m_IsShort == IsShort)
    return;
  State.m_IsShort = IsShort;
  m_ShortCount += IsShort ? 1 : -1;
}

double RateKeeper::tokensFor(const TokenAsk &Ask, absl::Time Now) const {
  double Level = m_Bucket.level(Now);
  double Needed =
      std::min(std::ceil(std::max(0.0, Ask.m_Needed)), std::floor(Level));
  double Ahead =
      std::min(std::max(0.0, Ask.m_Wanted), (Level - Needed) * AheadShare);
  return Needed + std::floor(Ahead);
}

absl::Duration RateKeeper::retryAfter(absl::Time Now) const {
  const TokenBucket::Options &Limits = m_Bucket.limits();
  // Those that were given too little share what accrues.
  absl::Duration Turn = absl::Seconds(static_cast<double>(m_ShortCount - 1) /
                                      Limits.m_RatePerSecond);
  absl::Duration Most =
      absl::Seconds(Limits.m_Burst * RetryShare / Limits.m_RatePerSecond);
  absl::Duration Wait =
      std::max(m_Bucket.waitFor(1, Now), std::min(Turn, Most));
  if (Wait == absl::InfiniteDuration())
    Wait = m_Lifetime.m_Lifetime;
  return std::max(Wait, LeastRetry);
}

} // namespace knapweedloft::policy
