#ifndef KNAPWEEDLOFT_POLICY_RESTARTDETECTOR_H
#define KNAPWEEDLOFT_POLICY_RESTARTDETECTOR_H

#include "policy/RunOutcome.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Recognizes the restart of a target from the connections that it breaks: all
/// that were in use, or several with no success between them. Not thread-safe.
class RestartDetector {
public:
  /// Lost connections in a row that stand for a restart.
  static constexpr std::uint32_t LostInRow = 3;

  /// \p Running counts the requests that still run.
  /// \returns whether the target has restarted; said once for each restart.
  [[nodiscard]] bool observe(RunOutcome Outcome, std::uint32_t Running);

private:
  std::uint32_t m_Lost = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RESTARTDETECTOR_H
