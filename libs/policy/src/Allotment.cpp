#include "policy/Allotment.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {

std::optional<TakenToken> Allotment::take(absl::Time Now) {
  // Epoch and expiry are read before the token is taken: a token of a later
  // grant may then carry an earlier expiry, never the other way round.
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

TokenAsk Allotment::ask(std::uint64_t Epoch, double Needed, double Burst,
                        absl::Time Now) {
  TokenAsk Ask = beginAsk(Epoch, Now);
  double Ahead = m_Demand * absl::ToDoubleSeconds(m_Settings.m_Ahead);
  Ahead = std::floor(std::min(Ahead, Burst * m_Settings.m_BurstShare));
  Ask.m_Needed = Needed;
  Ask.m_Wanted = std::max(0.0, Ahead - Ask.m_Held);
  m_LowMark.store(static_cast<std::int64_t>(Ahead / 2),
                  std::memory_order_relaxed);
  return Ask;
}

TokenAsk Allotment::giveBack(std::uint64_t Epoch, absl::Time Now) {
  removeAll();
  m_LowMark.store(0, std::memory_order_relaxed);
  return beginAsk(Epoch, Now);
}

bool Allotment::onGrant(std::uint64_t Epoch, const TokenGrant &Given,
                        absl::Time Now) {
  if (!m_IsAsking || Given.m_Sequence != m_Sequence ||
      Epoch != m_Epoch.load(std::memory_order_relaxed))
    return false;
  m_IsAsking = false;
  lapse(Now);
  absl::Time Expires = m_AskedAt + Given.m_Lifetime;
  if (Now >= Expires)
    return true;
  auto Tokens = static_cast<std::int64_t>(Given.m_Tokens);
  m_Received += Tokens;
  m_ExpiresNanos.store(absl::ToUnixNanos(Expires), std::memory_order_release);
  m_Tokens.fetch_add(Tokens, std::memory_order_acq_rel);
  return true;
}

bool Allotment::isAsking(absl::Time Now) const {
  return m_IsAsking && Now < m_AskedAt + m_Settings.m_AnswerWithin;
}

void Allotment::tick(absl::Time Now) {
  std::int64_t Spent = spent();
  if (Spent != m_DemandSpent)
    m_UsedAt = Now;
  absl::Duration Elapsed = Now - m_DemandAt;
  if (m_DemandAt == absl::InfinitePast() || Elapsed <= absl::ZeroDuration()) {
    m_DemandAt = std::max(m_DemandAt, Now);
    m_DemandSpent = Spent;
    return;
  }
  double Weight =
      1 - std::exp(-absl::FDivDuration(Elapsed, m_Settings.m_DemandWindow));
  double Rate = static_cast<double>(Spent - m_DemandSpent) /
                absl::ToDoubleSeconds(Elapsed);
  m_Demand += (Rate - m_Demand) * Weight;
  m_DemandAt = Now;
  m_DemandSpent = Spent;
}

bool Allotment::isIdle(absl::Time Now) const {
  return held() > 0 && Now >= m_UsedAt + m_Settings.m_IdleAfter;
}

TokenAsk Allotment::beginAsk(std::uint64_t Epoch, absl::Time Now) {
  if (Epoch != m_Epoch.load(std::memory_order_relaxed)) {
    removeAll();
    m_Epoch.store(Epoch, std::memory_order_release);
  }
  lapse(Now);
  m_IsAsking = true;
  m_AskedAt = Now;
  TokenAsk Ask;
  Ask.m_Sequence = ++m_Sequence;
  std::int64_t Held = held();
  Ask.m_Held = static_cast<double>(Held);
  Ask.m_Spent = static_cast<double>(m_Received - m_Removed - Held);
  return Ask;
}

void Allotment::removeAll() {
  m_Removed += m_Tokens.exchange(0, std::memory_order_acq_rel);
}

void Allotment::lapse(absl::Time Now) {
  if (Now >= expires())
    removeAll();
}

std::int64_t Allotment::spent() const {
  return m_Received - m_Removed - held();
}

absl::Time Allotment::expires() const {
  return absl::FromUnixNanos(m_ExpiresNanos.load(std::memory_order_acquire));
}

} // namespace knapweedloft::policy
