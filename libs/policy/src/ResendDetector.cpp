#include "policy/ResendDetector.h"

#include <algorithm>

namespace knapweedloft::policy {

bool ResendDetector::observe(std::uint64_t CallHash) {
  std::size_t Known = std::min(m_Count, Capacity);
  auto *End = m_Hashes.begin() + Known;
  if (std::find(m_Hashes.begin(), End, CallHash) != End)
    return true;
  m_Hashes[m_Count % Capacity] = CallHash;
  ++m_Count;
  return false;
}

} // namespace knapweedloft::policy
