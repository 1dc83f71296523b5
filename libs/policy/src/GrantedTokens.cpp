#include "policy/GrantedTokens.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {

std::optional<TakenToken> GrantedTokens::take(absl::Time Now) {
  // Read epoch and expiry before taking the token: a token of a later grant
  // may then carry an earlier expiry, but never the other way round.
  std::uint64_t Epoch = m_Epoch.load(std::memory_order_acquire);
  absl::Time Expires = expires();
  if (Now >= Expires)
    return std::nullopt;
  std::int64_t Tokens = m_Tokens.load(std::memory_order_acquire);
  while (Tokens > 0)
    if (m_Tokens.compare_exchange_weak(Tokens, Tokens - 1,
                                       std::memory_order_acq_rel))
      return TakenToken{Epoch, Expires};
  return std::nullopt;
}

TokenRequest GrantedTokens::ask(std::uint64_t Epoch, double Needed,
                                double Burst, absl::Time Now) {
  TokenRequest Request = beginRequest(Epoch, Now);
  double Prefetch =
      m_Demand * absl::ToDoubleSeconds(m_Settings.m_PrefetchPeriod);
  Prefetch =
      std::floor(std::min(Prefetch, Burst * m_Settings.m_MaxPrefetchShare));
  Request.m_Needed = Needed;
  Request.m_Wanted = std::max(0.0, Prefetch - Request.m_Held);
  m_LowWatermark.store(static_cast<std::int64_t>(Prefetch / 2),
                       std::memory_order_relaxed);
  return Request;
}

TokenRequest GrantedTokens::giveBack(std::uint64_t Epoch, absl::Time Now) {
  discardAll();
  m_LowWatermark.store(0, std::memory_order_relaxed);
  return beginRequest(Epoch, Now);
}

bool GrantedTokens::onGrant(std::uint64_t Epoch, const TokenGrant &Given,
                            absl::Time Now) {
  if (!m_HasRequest || Given.m_Sequence != m_Sequence ||
      Epoch != m_Epoch.load(std::memory_order_relaxed))
    return false;
  m_HasRequest = false;
  discardExpired(Now);
  absl::Time Expires = m_RequestedAt + Given.m_Lifetime;
  if (Now >= Expires)
    return true;
  auto Tokens = static_cast<std::int64_t>(Given.m_Tokens);
  m_Received += Tokens;
  m_ExpiresNanos.store(absl::ToUnixNanos(Expires), std::memory_order_release);
  m_Tokens.fetch_add(Tokens, std::memory_order_acq_rel);
  return true;
}

bool GrantedTokens::isRequestPending(absl::Time Now) const {
  return m_HasRequest && Now < m_RequestedAt + m_Settings.m_ResponseTimeout;
}

void GrantedTokens::tick(absl::Time Now) {
  std::int64_t Spent = spent();
  if (Spent != m_DemandSpent)
    m_SpentAt = Now;
  absl::Duration Elapsed = Now - m_DemandUpdatedAt;
  if (m_DemandUpdatedAt == absl::InfinitePast() ||
      Elapsed <= absl::ZeroDuration()) {
    m_DemandUpdatedAt = std::max(m_DemandUpdatedAt, Now);
    m_DemandSpent = Spent;
    return;
  }
  double Weight =
      1 -
      std::exp(-absl::FDivDuration(Elapsed, m_Settings.m_DemandTimeConstant));
  double Rate = static_cast<double>(Spent - m_DemandSpent) /
                absl::ToDoubleSeconds(Elapsed);
  m_Demand += (Rate - m_Demand) * Weight;
  m_DemandUpdatedAt = Now;
  m_DemandSpent = Spent;
}

bool GrantedTokens::isIdle(absl::Time Now) const {
  return held() > 0 && Now >= m_SpentAt + m_Settings.m_IdleTimeout;
}

TokenRequest GrantedTokens::beginRequest(std::uint64_t Epoch, absl::Time Now) {
  if (Epoch != m_Epoch.load(std::memory_order_relaxed)) {
    discardAll();
    m_Epoch.store(Epoch, std::memory_order_release);
  }
  discardExpired(Now);
  m_HasRequest = true;
  m_RequestedAt = Now;
  TokenRequest Request;
  Request.m_Sequence = ++m_Sequence;
  std::int64_t Held = held();
  Request.m_Held = static_cast<double>(Held);
  Request.m_Spent = static_cast<double>(m_Received - m_Discarded - Held);
  return Request;
}

void GrantedTokens::discardAll() {
  m_Discarded += m_Tokens.exchange(0, std::memory_order_acq_rel);
}

void GrantedTokens::discardExpired(absl::Time Now) {
  if (Now >= expires())
    discardAll();
}

std::int64_t GrantedTokens::spent() const {
  return m_Received - m_Discarded - held();
}

absl::Time GrantedTokens::expires() const {
  return absl::FromUnixNanos(m_ExpiresNanos.load(std::memory_order_acquire));
}

} // namespace knapweedloft::policy
