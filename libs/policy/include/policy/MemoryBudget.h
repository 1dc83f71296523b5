#ifndef KNAPWEEDLOFT_POLICY_MEMORYBUDGET_H
#define KNAPWEEDLOFT_POLICY_MEMORYBUDGET_H

#include <cstddef>

namespace knapweedloft::policy {

/// Counts the bytes that a process holds for others against one bound. It
/// refuses nothing: whoever holds them looks at isOver() and gives some up.
/// Not thread-safe; outlives its shares.
///
/// \code
///   MemoryBudget Budget(48 << 20);
///   HeldBytes Answers(&Budget);
///   Answers.set(Unread.size());
///   while (Budget.isOver())
///     closeLargest();
/// \endcode
class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t MaxBytes) : m_MaxBytes(MaxBytes) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  [[nodiscard]] std::size_t maxBytes() const { return m_MaxBytes; }
  [[nodiscard]] std::size_t heldBytes() const { return m_HeldBytes; }
  [[nodiscard]] bool isOver() const { return m_HeldBytes > m_MaxBytes; }

private:
  friend class HeldBytes;

  const std::size_t m_MaxBytes;
  std::size_t m_HeldBytes = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_MEMORYBUDGET_H
