#include "BetaBinomial.h"

#include <cmath>

namespace knapweedloft::policy {

double tailProbability(std::uint64_t Hits, std::uint64_t Tries,
                       ObservedShare Expected, double Enough) {
  if (Hits == 0)
    return 1;
  if (Hits > Tries)
    return 0;
  double Alpha = Expected.m_Share * Expected.m_Observations + 1;
  double Beta = (1 - Expected.m_Share) * Expected.m_Observations + 1;
  auto N = static_cast<double>(Tries);

  double LogTerm = 0;
  for (double Try = 0; Try < N; ++Try)
    LogTerm += std::log((Beta + Try) / (Alpha + Beta + Try));

  double Sum = 0;
  for (std::uint64_t X = 0; X <= Tries; ++X) {
    if (X >= Hits)
      Sum += std::exp(LogTerm);
    if (Sum > Enough || X == Tries)
      break;
    auto At = static_cast<double>(X);
    LogTerm +=
        std::log((N - At) / (At + 1) * (Alpha + At) / (N - At - 1 + Beta));
  }
  return Sum;
}

} // namespace knapweedloft::policy
