#include "policy/EarlyRefusal.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Weight of a new sample in the mean limit of the targets.
constexpr float WeightSmoothing = 0.01F;
/// Maximum weight of the level of one large target.
constexpr float MaxSmoothing = 0.5F;

/// \returns the share of \p Priority that is shed at \p Level, 0 to 1.
float shedShare(float Level, model::Priority Priority) {
  auto LowerPriorities = static_cast<float>(model::PriorityCount - 1 -
                                            static_cast<std::size_t>(Priority));
  return std::clamp(Level - LowerPriorities, 0.0F, 1.0F);
}

} // namespace

EarlyRefusal::EarlyRefusal(const Options &Settings) : m_Settings(Settings) {}

float EarlyRefusal::level(absl::Time Now, std::uint32_t Customer) const {
  if (Customer >= m_Entries.size())
    return 0;
  const Entry &Known = m_Entries[Customer];
  absl::Duration Age = std::max(Now - Known.m_LastUpdate - m_Settings.m_Hold,
                                absl::ZeroDuration());
  double HalfLives = absl::FDivDuration(Age, m_Settings.m_HalfLife);
  return Known.m_Level * static_cast<float>(std::exp2(-HalfLives));
}

void EarlyRefusal::observe(float ShedLevel, absl::Time Now,
                           std::uint32_t Customer, float Weight) {
  if (Customer >= m_Entries.size())
    m_Entries.resize(Customer + 1);
  float Previous = level(Now, Customer);
  Entry &Known = m_Entries[Customer];
  m_MeanWeight = m_MeanWeight == 0
                     ? Weight
                     : m_MeanWeight + WeightSmoothing * (Weight - m_MeanWeight);
  float Relative = m_MeanWeight > 0 ? Weight / m_MeanWeight : 1;
  float Share = std::min(m_Settings.m_Smoothing * Relative, MaxSmoothing);
  Known.m_Level = Previous + Share * (ShedLevel - Previous);
  Known.m_LastUpdate = Now;
}

std::optional<absl::Duration> EarlyRefusal::refuse(model::Priority Priority,
                                                   absl::Time Now,
                                                   absl::BitGenRef Random,
                                                   std::uint32_t Customer) {
  if (!m_Settings.m_IsEnabled || Customer >= m_Entries.size())
    return std::nullopt;
  float Level = level(Now, Customer);
  float Share = shedShare(Level, Priority);
  if (Share <= 0 || absl::Uniform(Random, 0.0F, 1.0F) >= Share)
    return std::nullopt;
  Entry &Known = m_Entries[Customer];
  if (Now - std::max(Known.m_LastUpdate, Known.m_LastProbe) >=
      m_Settings.m_ProbeInterval) {
    Known.m_LastProbe = Now;
    return std::nullopt;
  }
  double Jitter = absl::Uniform(Random, 0.5, 1.5);
  return m_Settings.m_RetryAfter * Jitter * std::max(1.0F, Level);
}

} // namespace knapweedloft::policy
