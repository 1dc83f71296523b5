#ifndef KNAPWEEDLOFT_POLICY_TARGETHEALTH_H
#define KNAPWEEDLOFT_POLICY_TARGETHEALTH_H

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Outlier ejection of one target: tracks its failures, and after an ejection
/// readmits it once trial requests have succeeded.
class TargetHealth {
public:
  void onSuccess();
  void onFailure();

  /// Ejects the target for one second. The time does not grow with consecutive
  /// ejections: a target that was down for long would then stay ejected for as
  /// long again.
  void eject(absl::Time Now);

  /// \returns whether the target may get a request while \p Outstanding are
  /// unanswered: after an ejection one at a time, until several succeed.
  [[nodiscard]] bool isUsable(std::uint32_t Outstanding, absl::Time Now) const;

  /// \returns whether the target is ejected or on trial.
  [[nodiscard]] bool isEjected() const { return m_IsEjected; }

  /// \returns the recent share of failures, 0 to 1.
  [[nodiscard]] double failureShare() const { return m_FailureShare; }

  /// \returns whether the share is based on enough answers.
  [[nodiscard]] bool hasEnoughAnswers() const;

private:
  double m_FailureShare = 0;
  std::uint32_t m_Answers = 0;
  std::uint32_t m_TrialSuccesses = 0;
  bool m_IsEjected = false;
  absl::Time m_EjectedUntil = absl::InfinitePast();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETHEALTH_H
