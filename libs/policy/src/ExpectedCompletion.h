#ifndef KNAPWEEDLOFT_POLICY_EXPECTEDCOMPLETION_H
#define KNAPWEEDLOFT_POLICY_EXPECTEDCOMPLETION_H

#include "policy/TargetFeedback.h"

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// When a target is expected to have completed a request that is sent to it
/// now: its wait for a slot and the work of the target at its present pace.
///
/// What is known of the slots in use is some time old, and other entry sides
/// send too: a target that was nearly full is counted with the wait to be
/// expected over what may have changed since, not as if it had a free slot for
/// certain.
class ExpectedCompletion {
public:
  /// \p Requests: those that the target is taken to have now.
  /// \p PaceWeight: share of the reported deviation of the pace that is still
  /// to be expected. \p Age: of the report.
  ExpectedCompletion(const TargetFeedback &Load, double Requests,
                     double PaceWeight, absl::Duration Age);

  /// \returns whether there is enough in \p Load to expect anything.
  [[nodiscard]] static bool isKnown(const TargetFeedback &Load) {
    return Load.m_Pace > 0 && Load.m_Latency > absl::ZeroDuration();
  }

  [[nodiscard]] absl::Duration work() const { return m_Work; }
  [[nodiscard]] absl::Duration wait() const { return m_Wait; }
  [[nodiscard]] absl::Duration total() const { return m_Wait + m_Work; }
  [[nodiscard]] bool hasFreeSlot() const { return m_HasFreeSlot; }

private:
  absl::Duration m_Work;
  absl::Duration m_Wait;
  bool m_HasFreeSlot = false;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_EXPECTEDCOMPLETION_H
