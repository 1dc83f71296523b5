#include "policy/TokenBucket.h"

#include "policy/PolicyError.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

void check(const TokenBucket::Options &Limits) {
  if (!(Limits.m_RatePerSecond > 0) || !std::isfinite(Limits.m_RatePerSecond))
    throw PolicyError("the rate must be finite and more than 0");
  if (!(Limits.m_Burst >= 1) || !std::isfinite(Limits.m_Burst))
    throw PolicyError("the burst must be finite and at least 1");
}

} // namespace

TokenBucket::TokenBucket(const Options &Limits, absl::Time Now)
    : m_Limits(Limits), m_Updated(Now) {
  check(Limits);
}

bool TokenBucket::tryTake(double Count, absl::Time Now) {
  accrue(Now);
  if (m_Tokens < Count)
    return false;
  m_Tokens -= Count;
  return true;
}

absl::Duration TokenBucket::waitFor(double Count, absl::Time Now) const {
  double Missing = Count - tokensAt(Now);
  if (Missing <= 0)
    return absl::ZeroDuration();
  if (Count > capacity())
    return absl::InfiniteDuration();
  return absl::Seconds(Missing / m_Limits.m_RatePerSecond);
}

void TokenBucket::reserve(double Reserved, absl::Time Now) {
  accrue(Now);
  m_Reserved = Reserved;
  m_Tokens = std::min(m_Tokens, capacity());
}

void TokenBucket::putBack(double Count, absl::Time Now) {
  accrue(Now);
  m_Tokens = std::min(m_Tokens + Count, capacity());
}

void TokenBucket::setLimits(const Options &Limits, absl::Time Now) {
  check(Limits);
  accrue(Now);
  m_Limits = Limits;
  m_Tokens = std::min(m_Tokens, capacity());
}

double TokenBucket::capacity() const {
  return std::max(0.0, m_Limits.m_Burst - m_Reserved);
}

double TokenBucket::tokensAt(absl::Time Now) const {
  absl::Duration Elapsed = std::max(Now - m_Updated, absl::ZeroDuration());
  double Accrued = absl::ToDoubleSeconds(Elapsed) * m_Limits.m_RatePerSecond;
  return std::min(m_Tokens + Accrued, capacity());
}

void TokenBucket::accrue(absl::Time Now) {
  m_Tokens = tokensAt(Now);
  m_Updated = std::max(m_Updated, Now);
}

} // namespace knapweedloft::policy
