#ifndef KNAPWEEDLOFT_POLICY_TESTS_SLOWMOMENT_H
#define KNAPWEEDLOFT_POLICY_TESTS_SLOWMOMENT_H

#include <cstdint>

namespace knapweedloft::policy {

/// \returns whether the moment of this number is one of the slow ones, which
/// are \p Share of all; the same for the same number.
inline bool slowMoment(std::uint64_t Number, double Share) {
  std::uint64_t Mixed = (Number + 1) * 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94d049bb133111ebULL;
  Mixed ^= Mixed >> 31U;
  constexpr double Range = 9007199254740992.0; // 2 to the power of 53.
  return static_cast<double>(Mixed >> 11U) / Range < Share;
}

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TESTS_SLOWMOMENT_H
