#include "policy/DoorOrder.h"

#include "absl/random/distributions.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// Counts below this are forgotten.
constexpr double LeastCount = 1e-3;

} // namespace

bool DoorOrder::pass(std::uint32_t Rank, bool IsReturning, double Admitted,
                     absl::BitGenRef Random) {
  for (auto Seen = m_Seen.begin(); Seen != m_Seen.end();) {
    Seen->second *= m_Settings.m_Forgetting;
    Seen = Seen->second < LeastCount ? m_Seen.erase(Seen) : std::next(Seen);
  }
  // Those that return stand in front of the others of their rank.
  std::uint32_t Band = 2 * Rank + (IsReturning ? 0 : 1);
  m_Seen[Band] += 1;
  if (Admitted >= 1)
    return true;
  double Before = 0;
  double Total = 0;
  for (const auto &[Other, Count] : m_Seen) {
    Total += Count;
    Before += Other < Band ? Count : 0;
  }
  double Turn = absl::Uniform(Random, 0.0, 1.0);
  double Position = (Before + Turn * m_Seen[Band]) / Total;
  double Refused =
      std::clamp((Position - Admitted) / m_Settings.m_Softness + 0.5, 0.0,
                 m_Settings.m_MostRefused);
  return absl::Uniform(Random, 0.0, 1.0) >= Refused;
}

} // namespace knapweedloft::policy
