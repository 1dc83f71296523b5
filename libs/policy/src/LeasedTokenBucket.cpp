#include "policy/LeasedTokenBucket.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Share of the level that one request may take ahead of demand, so that
/// tokens remain for a grantee with calls waiting.
constexpr double PrefetchShare = 0.25;

/// Grantees that were granted too little request again within this share of the
/// time in which the bucket fills, so that it never fills while calls are
/// refused.
constexpr double RetryFillShare = 0.25;

constexpr absl::Duration MinRetryAfter = absl::Milliseconds(1);

} // namespace

LeasedTokenBucket::LeasedTokenBucket(const TokenBucket::Options &Limits,
                                     const GrantLifetime &Lifetime,
                                     absl::Time Started)
    : m_Bucket(Limits, Started), m_Lifetime(Lifetime) {}

TokenGrant LeasedTokenBucket::grant(GranteeId Grantee,
                                    const TokenRequest &Request,
                                    absl::Time Now) {
  expire(Now);
  GranteeState &State = m_Grantees[Grantee];
  if (Request.m_Sequence <= State.m_Sequence)
    return {};
  State.m_Sequence = Request.m_Sequence;
  settle(State, Request, Now);
  double Tokens = tokensFor(Request, Now);
  if (Tokens > 0 && !m_Bucket.tryTake(Tokens, Now))
    Tokens = 0;
  setOutstanding(State, State.m_Outstanding + Tokens, Now);
  State.m_Expires = m_Lifetime.leaseHolderExpiry(Now);
  m_NextExpiry = std::min(m_NextExpiry, State.m_Expires);
  setUnderserved(State, Tokens < Request.m_Needed);
  TokenGrant Grant;
  Grant.m_Sequence = Request.m_Sequence;
  Grant.m_Tokens = Tokens;
  Grant.m_Lifetime = m_Lifetime.m_Lifetime;
  if (State.m_IsUnderserved)
    Grant.m_RetryAfter = retryAfter(Now);
  return Grant;
}

void LeasedTokenBucket::setLimits(const TokenBucket::Options &Limits,
                                  absl::Time Now) {
  m_Bucket.setLimits(Limits, Now);
}

void LeasedTokenBucket::expire(absl::Time Now) {
  if (Now < m_NextExpiry)
    return;
  m_NextExpiry = absl::InfiniteFuture();
  for (auto Next = m_Grantees.begin(); Next != m_Grantees.end();) {
    auto Here = Next++;
    if (Now < Here->second.m_Expires) {
      m_NextExpiry = std::min(m_NextExpiry, Here->second.m_Expires);
      continue;
    }
    setUnderserved(Here->second, false);
    setOutstanding(Here->second, 0, Now);
    m_Grantees.erase(Here);
  }
}

bool LeasedTokenBucket::isIdle(absl::Time Now) const {
  return m_Grantees.empty() && m_Bucket.level(Now) >= m_Bucket.limits().m_Burst;
}

void LeasedTokenBucket::settle(GranteeState &State, const TokenRequest &Request,
                               absl::Time Now) {
  double Spent = std::max(0.0, Request.m_Spent - State.m_Spent);
  State.m_Spent = std::max(State.m_Spent, Request.m_Spent);
  double Outstanding = State.m_Outstanding;
  double Held = std::clamp(Request.m_Held, 0.0, Outstanding);
  double Unspent = std::max(0.0, Outstanding - Held - Spent);
  setOutstanding(State, Held, Now);
  m_Bucket.putBack(Unspent, Now);
}

void LeasedTokenBucket::setOutstanding(GranteeState &State, double Tokens,
                                       absl::Time Now) {
  m_Outstanding += Tokens - State.m_Outstanding;
  State.m_Outstanding = Tokens;
  if (m_Grantees.size() == 1)
    m_Outstanding = Tokens; // Discards accumulated rounding errors.
  m_Bucket.reserve(m_Outstanding, Now);
}

void LeasedTokenBucket::setUnderserved(GranteeState &State,
                                       bool IsUnderserved) {
  if (State.m_IsUnderserved == IsUnderserved)
    return;
  State.m_IsUnderserved = IsUnderserved;
  m_UnderservedCount += IsUnderserved ? 1 : -1;
}

double LeasedTokenBucket::tokensFor(const TokenRequest &Request,
                                    absl::Time Now) const {
  double Level = m_Bucket.level(Now);
  double Needed =
      std::min(std::ceil(std::max(0.0, Request.m_Needed)), std::floor(Level));
  double Prefetch = std::min(std::max(0.0, Request.m_Wanted),
                             (Level - Needed) * PrefetchShare);
  return Needed + std::floor(Prefetch);
}

absl::Duration LeasedTokenBucket::retryAfter(absl::Time Now) const {
  const TokenBucket::Options &Limits = m_Bucket.limits();
  // The grantees that were granted too little share the tokens that accrue.
  absl::Duration Turn = absl::Seconds(
      static_cast<double>(m_UnderservedCount - 1) / Limits.m_RatePerSecond);
  absl::Duration MaxTurn =
      absl::Seconds(Limits.m_Burst * RetryFillShare / Limits.m_RatePerSecond);
  absl::Duration Wait =
      std::max(m_Bucket.waitFor(1, Now), std::min(Turn, MaxTurn));
  if (Wait == absl::InfiniteDuration())
    Wait = m_Lifetime.m_Lifetime;
  return std::max(Wait, MinRetryAfter);
}

} // namespace knapweedloft::policy
