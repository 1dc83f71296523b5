#ifndef KNAPWEEDLOFT_APP_BURNCOUNTS_H
#define KNAPWEEDLOFT_APP_BURNCOUNTS_H

#include <cstdint>

namespace knapweedloft::app {

/// Requests of one route and customer over some time. Counts only what the
/// service level answers for: not what the caller did wrong.
struct BurnCounts {
  std::uint32_t m_Total = 0;
  std::uint32_t m_Failed = 0;  ///< Answered with an error or not at all.
  std::uint32_t m_Refused = 0; ///< Of the failed: refused by the system.
  std::uint32_t m_Slow = 0;    ///< Succeeded, but past the latency objective.

  void add(const BurnCounts &Other) {
    m_Total += Other.m_Total;
    m_Failed += Other.m_Failed;
    m_Refused += Other.m_Refused;
    m_Slow += Other.m_Slow;
  }
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_BURNCOUNTS_H
