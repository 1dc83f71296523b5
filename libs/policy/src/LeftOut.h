#ifndef KNAPWEEDLOFT_POLICY_LEFTOUT_H
#define KNAPWEEDLOFT_POLICY_LEFTOUT_H

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

namespace knapweedloft::policy {

/// \returns how many of the targets of a new version are left out of the
/// judgement: single machines or a zone may be at fault.
[[nodiscard]] inline std::size_t thirdOf(std::size_t Targets) {
  return Targets < 2 ? 0 : std::max<std::size_t>(1, (Targets + 1) / 3);
}

/// \returns how many of them may have crashed at once, each failing all that it
/// ran.
[[nodiscard]] inline std::size_t crashedOf(std::size_t Targets) {
  return Targets < 2 ? 0 : std::max<std::size_t>(1, Targets / 8);
}

/// \returns the indexes of \p Judged, the largest first, without \p LeftOut of
/// them.
[[nodiscard]] inline std::vector<std::size_t>
withoutWorst(const std::vector<double> &Judged, std::size_t LeftOut) {
  std::vector<std::size_t> Order(Judged.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::stable_sort(Order.begin(), Order.end(),
                   [&Judged](std::size_t Left, std::size_t Right) {
                     return Judged[Left] > Judged[Right];
                   });
  Order.erase(Order.begin(),
              Order.begin() +
                  static_cast<std::ptrdiff_t>(std::min(LeftOut, Order.size())));
  return Order;
}

/// \returns the sum of \p Values without those that \p Judged tells the worst.
[[nodiscard]] inline double sumWithoutWorst(const std::vector<double> &Values,
                                            const std::vector<double> &Judged,
                                            std::size_t LeftOut) {
  double Sum = 0;
  for (std::size_t Index : withoutWorst(Judged, LeftOut))
    Sum += Values[Index];
  return Sum;
}

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_LEFTOUT_H
