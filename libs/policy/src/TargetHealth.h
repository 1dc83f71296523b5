#ifndef KNAPWEEDLOFT_POLICY_TARGETHEALTH_H
#define KNAPWEEDLOFT_POLICY_TARGETHEALTH_H

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Leaves a target out after failures and lets it back after trials.
class TargetHealth {
public:
  void onSuccess();
  void onFailure();

  /// Leaves it out for a second. The time doesn't grow with the ejections in a
  /// row: a target that was down for long would then stay out for as long.
  void eject(absl::Time Now);

  /// \returns whether it may get a request, given its unanswered ones: after
  /// an ejection one at a time, until several succeed.
  [[nodiscard]] bool isUsable(std::uint32_t Outstanding, absl::Time Now) const;

  /// \returns whether it is left out or on trial.
  [[nodiscard]] bool isEjected() const { return m_IsEjected; }

  /// \returns the recent share of failures, 0 to 1.
  [[nodiscard]] double failureShare() const { return m_Failures; }

  /// \returns whether the share rests on enough answers.
  [[nodiscard]] bool isKnown() const;

private:
  double m_Failures = 0;
  std::uint32_t m_Answers = 0;
  std::uint32_t m_TrialSuccesses = 0;
  bool m_IsEjected = false;
  absl::Time m_Until = absl::InfinitePast();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETHEALTH_H
