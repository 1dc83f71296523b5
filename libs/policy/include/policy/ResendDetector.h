#ifndef KNAPWEEDLOFT_POLICY_RESENDDETECTOR_H
#define KNAPWEEDLOFT_POLICY_RESENDDETECTOR_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweedloft::policy {

/// Recognizes that a running request repeats a call it has made before. One
/// instance for each running forward; the calls are known by a hash of method,
/// path and body. Remembers the most recent calls only. Not thread-safe.
class ResendDetector {
public:
  static constexpr std::size_t Capacity = 16;

  /// Notes a call.
  /// \returns whether the same call was noted before.
  [[nodiscard]] bool observe(std::uint64_t CallHash);

private:
  std::array<std::uint64_t, Capacity> m_Hashes{};
  std::size_t m_Count = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RESENDDETECTOR_H
