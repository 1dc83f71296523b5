#ifndef KNAPWEEDLOFT_POLICY_RESENDDETECTOR_H
#define KNAPWEEDLOFT_POLICY_RESENDDETECTOR_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweedloft::policy {

/// Detects that a running request repeats a call that it has already made. One
/// instance per running forward; calls are identified by a hash of method, path
/// and body. Stores only the most recent calls. Not thread-safe.
class ResendDetector {
public:
  static constexpr std::size_t Capacity = 16;

  /// Records a call.
  /// \returns whether the same call was recorded before.
  [[nodiscard]] bool observe(std::uint64_t CallHash);

private:
  std::array<std::uint64_t, Capacity> m_Hashes{};
  std::size_t m_Count = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RESENDDETECTOR_H
