#include "experiment/PairedDifference.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <random>

namespace knapweedloft::experiment {
namespace {

namespace ba = boost::accumulators;

constexpr std::size_t Resamples = 4'000;
constexpr double Tail = 0.025;

using Mean = ba::accumulator_set<double, ba::stats<ba::tag::mean>>;

} // namespace

PairedDifference pairedDifferenceOf(const std::vector<double> &Differences) {
  if (Differences.empty())
    return {};
  Mean All;
  for (double One : Differences)
    All(One);
  std::mt19937_64 Random(Differences.size());
  std::uniform_int_distribution<std::size_t> Draw(0, Differences.size() - 1);
  std::vector<double> Means;
  Means.reserve(Resamples);
  for (std::size_t Sample = 0; Sample < Resamples; ++Sample) {
    Mean Drawn;
    for (std::size_t Pair = 0; Pair < Differences.size(); ++Pair)
      Drawn(Differences[Draw(Random)]);
    Means.push_back(ba::mean(Drawn));
  }
  std::sort(Means.begin(), Means.end());
  auto At = [&Means](double Quantile) {
    return Means[static_cast<std::size_t>(Quantile * (Resamples - 1))];
  };
  return {.m_Pairs = Differences.size(),
          .m_Mean = ba::mean(All),
          .m_Low = At(Tail),
          .m_High = At(1 - Tail)};
}

} // namespace knapweedloft::experiment
