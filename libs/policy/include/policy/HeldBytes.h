#ifndef KNAPWEEDLOFT_POLICY_HELDBYTES_H
#define KNAPWEEDLOFT_POLICY_HELDBYTES_H

#include "policy/MemoryBudget.h"

#include <cstddef>
#include <utility>

namespace knapweedloft::policy {

/// What one holder has of a MemoryBudget; given back when it goes out of
/// scope. Without a budget it counts for itself only.
class HeldBytes {
public:
  explicit HeldBytes(MemoryBudget *Of = nullptr) : m_Budget(Of) {}
  ~HeldBytes() { set(0); }
  HeldBytes(HeldBytes &&Other) noexcept
      : m_Budget(Other.m_Budget), m_Bytes(std::exchange(Other.m_Bytes, 0)) {}
  HeldBytes &operator=(HeldBytes &&Other) noexcept {
    if (this != &Other) {
      set(0);
      m_Budget = Other.m_Budget;
      m_Bytes = std::exchange(Other.m_Bytes, 0);
    }
    return *this;
  }

  /// Replaces what was held before.
  void set(std::size_t Bytes) {
    if (m_Budget)
      m_Budget->m_HeldBytes = m_Budget->m_HeldBytes - m_Bytes + Bytes;
    m_Bytes = Bytes;
  }
  [[nodiscard]] std::size_t get() const { return m_Bytes; }

private:
  MemoryBudget *m_Budget;
  std::size_t m_Bytes = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_HELDBYTES_H
