#include "policy/PriorityAdmission.h"

#include "absl/random/distributions.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// Counts below this are removed.
constexpr double MinCount = 1e-3;

} // namespace

bool PriorityAdmission::admit(std::uint32_t Rank, bool IsResend,
                              double AdmittedShare, absl::BitGenRef Random) {
  for (auto Entry = m_Counts.begin(); Entry != m_Counts.end();) {
    Entry->second *= m_Settings.m_DecayPerRequest;
    Entry = Entry->second < MinCount ? m_Counts.erase(Entry) : std::next(Entry);
  }
  // Resent requests go before the others of their rank.
  std::uint32_t Band = 2 * Rank + (IsResend ? 0 : 1);
  m_Counts[Band] += 1;
  if (AdmittedShare >= 1)
    return true;
  double Before = 0;
  double Total = 0;
  for (const auto &[Other, Count] : m_Counts) {
    Total += Count;
    Before += Other < Band ? Count : 0;
  }
  double Offset = absl::Uniform(Random, 0.0, 1.0);
  double Position = (Before + Offset * m_Counts[Band]) / Total;
  double RejectProbability = std::clamp(
      (Position - AdmittedShare) / m_Settings.m_TransitionWidth + 0.5, 0.0,
      m_Settings.m_MaxRejectProbability);
  return absl::Uniform(Random, 0.0, 1.0) >= RejectProbability;
}

} // namespace knapweedloft::policy
