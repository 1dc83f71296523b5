#include "policy/DownstreamGuard.h"

#include "absl/random/distributions.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// Let through beyond what went through below.
constexpr double Headroom = 1.05;
/// Growth in a window without refusals, and in those that follow it.
constexpr double FirstGrowth = 1.1;
constexpr double SteadyGrowth = 1.6;
/// Share of refusals that counts as none.
constexpr double NoRefusals = 0.01;
/// Always let through, to learn.
constexpr double LeastPass = 0.002;
/// A window is kept open for so many ends, up to some windows.
constexpr double EnoughEnds = 10;
constexpr int MaxWindows = 4;

} // namespace

DownstreamGuard::DownstreamGuard(const Options &Settings)
    : m_Settings(Settings) {}

DownstreamGuard::Entry &DownstreamGuard::at(std::uint32_t Customer,
                                            absl::Time Now) {
  if (Customer >= m_Entries.size())
    m_Entries.resize(Customer + 1);
  Entry &Own = m_Entries[Customer];
  if (Own.m_Since == absl::InfinitePast())
    Own.m_Since = Now;
  return Own;
}

void DownstreamGuard::closeWindow(Entry &Own, absl::Time Now) const {
  absl::Duration Open = Now - Own.m_Since;
  if (Open < m_Settings.m_Window)
    return;
  if (Own.m_Ended < EnoughEnds && Open < MaxWindows * m_Settings.m_Window)
    return;
  // With few ends, those that lack count as served.
  double Refused = Own.m_Refused / std::max(Own.m_Ended, EnoughEnds);
  bool IsClean = Refused <= NoRefusals;
  double Growth = Own.m_WasClean ? SteadyGrowth : FirstGrowth;
  double Factor = IsClean ? Growth : (1 - Refused) * Headroom;
  Own.m_WasClean = IsClean;
  Own.m_Pass = std::clamp(Own.m_Pass * Factor, LeastPass, 1.0);
  Own.m_Ended = Own.m_Refused = 0;
  Own.m_Since = Now;
}

void DownstreamGuard::observe(bool IsRefusedBelow, absl::Time Now,
                              std::uint32_t Customer) {
  Entry &Own = at(Customer, Now);
  Own.m_Ended += 1;
  Own.m_Refused += IsRefusedBelow ? 1 : 0;
  closeWindow(Own, Now);
}

std::optional<absl::Duration> DownstreamGuard::refuse(absl::Time Now,
                                                      absl::BitGenRef Random,
                                                      std::uint32_t Customer) {
  if (!m_Settings.m_IsEnabled)
    return std::nullopt;
  Entry &Own = at(Customer, Now);
  closeWindow(Own, Now);
  if (Own.m_Pass >= 1 || absl::Uniform(Random, 0.0, 1.0) < Own.m_Pass)
    return std::nullopt;
  return m_Settings.m_RetryAfter * absl::Uniform(Random, 0.5, 1.5);
}

double DownstreamGuard::passShare(std::uint32_t Customer) const {
  return Customer < m_Entries.size() ? m_Entries[Customer].m_Pass : 1;
}

} // namespace knapweedloft::policy
