#include "policy/Backoff.h"

#include "policy/PolicyError.h"

#include "absl/random/distributions.h"

#include <algorithm>

namespace knapweedloft::policy {

Backoff::Backoff(const Options &Settings) : m_Settings(Settings) {
  if (Settings.m_Base < absl::ZeroDuration() ||
      Settings.m_Base > Settings.m_Max)
    throw PolicyError("backoff requires 0 <= base <= max");
}

absl::Duration Backoff::delayBefore(int Attempt, absl::BitGenRef Random) const {
  absl::Duration Bound = m_Settings.m_Base;
  for (int Retry = 2; Retry < Attempt && Bound < m_Settings.m_Max; ++Retry)
    Bound *= 2;
  Bound = std::min(Bound, m_Settings.m_Max);
  return Bound * absl::Uniform(Random, 0.0, 1.0);
}

} // namespace knapweedloft::policy
