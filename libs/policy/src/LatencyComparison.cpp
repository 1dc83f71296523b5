#include "LatencyComparison.h"

#include "LeftOut.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweedloft::policy {

namespace {

constexpr std::size_t Buckets = RouteCounts::BucketCount;
/// Cells around one that count as the same time.
constexpr std::size_t Radius = 2;
/// Spans, in cells up to the present. Short ones show what began late.
constexpr std::array<std::int64_t, 5> Spans = {4, 8, 16, 32, 1'000};
/// Observations that are added to each bucket: few former answers exclude
/// nothing.
constexpr double PriorPerBucket = 0.25;
/// Part of the answers that may have any duration for no known reason.
constexpr double Unexplained = 0.05;
/// By how many half octaves a good target may be faster or slower by itself.
constexpr int Fastest = -2;
constexpr int Slowest = 2;
constexpr std::size_t Speeds = Slowest - Fastest + 1;
/// Parts of its answers that a bad version may slow down.
constexpr std::array<double, 2> SlowParts = {0.4, 0.95};
/// It slows them down by the factor of the settings or by so much more.
constexpr std::array<int, 2> MoreHalfOctaves = {0, 2};

/// Durations that differ from few former ones in shape alone do not count:
/// this share of the answers has to be slow.
constexpr double MinSlowShare = 0.1;
/// Fewer answers than this are none: sums of fractions are not exact.
constexpr double NoAnswers = 1e-3;

using Distribution = std::array<double, Buckets>;

double sumOf(const Distribution &Counts) {
  return std::accumulate(Counts.begin(), Counts.end(), 0.0);
}

double meanBucketOf(const Distribution &Counts) {
  double Sum = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    Sum += Counts[Bucket] * static_cast<double>(Bucket);
  return Sum / std::max(sumOf(Counts), NoAnswers);
}

/// \returns the distribution of durations that are \p Shift buckets longer.
Distribution shifted(const Distribution &Of, int Shift) {
  Distribution Result{};
  constexpr int Last = Buckets - 1;
  for (int Bucket = 0; Bucket <= Last; ++Bucket) {
    int To = std::clamp(Bucket + Shift, 0, Last);
    Result[static_cast<std::size_t>(To)] +=
        Of[static_cast<std::size_t>(Bucket)];
  }
  return Result;
}

/// \returns \p Counts as a distribution that excludes no duration.
Distribution smoothed(const Distribution &Counts, double Observations) {
  double Sum = sumOf(Counts);
  double All = Observations + PriorPerBucket * Buckets;
  Distribution Result;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    double Known = Observations * Counts[Bucket] / Sum + PriorPerBucket;
    Result[Bucket] = (1 - Unexplained) * Known / All + Unexplained / Buckets;
  }
  return Result;
}

double logLikelihood(const Distribution &Answers, const Distribution &Logs) {
  double Sum = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    if (Answers[Bucket] > 0)
      Sum += Answers[Bucket] * Logs[Bucket];
  }
  return Sum;
}

Distribution logsOf(Distribution Of) {
  for (double &Share : Of)
    Share = std::log(std::max(Share, Unexplained / Buckets));
  return Of;
}

} // namespace

struct LatencyComparison::Model {
  explicit Model(const Distribution &Usual, double SlowFactor) {
    int Least = static_cast<int>(std::ceil(2 * std::log2(SlowFactor)));
    for (std::size_t Speed = 0; Speed < Speeds; ++Speed) {
      int Own = Fastest + static_cast<int>(Speed);
      Distribution Good = shifted(Usual, Own);
      m_Good.push_back(logsOf(Good));
      for (int More : MoreHalfOctaves) {
        Distribution Slow = shifted(Usual, Own + Least + More);
        for (double Part : SlowParts) {
          Distribution Mixed;
          for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
            Mixed[Bucket] = (1 - Part) * Good[Bucket] + Part * Slow[Bucket];
          m_Bad.push_back(logsOf(Mixed));
        }
      }
    }
  }

  std::vector<Distribution> m_Good;
  std::vector<Distribution> m_Bad;
};

LatencyComparison::LatencyComparison(const Options &Settings,
                                     const AnswerHistory::Cells &Former,
                                     std::int64_t First, std::int64_t Last)
    : m_Settings(Settings), m_First(First), m_Last(Last) {
  m_Before.resize(indexOf(Last) + 2);
  for (const AnswerCell &Cell : Former) {
    if (Cell.m_Cell < First || Cell.m_Cell > Last)
      continue;
    Counts &After = m_Before[indexOf(Cell.m_Cell) + 1];
    std::copy(Cell.m_Latencies.begin(), Cell.m_Latencies.end(), After.begin());
  }
  for (std::size_t Cell = 1; Cell < m_Before.size(); ++Cell) {
    for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
      m_Before[Cell][Bucket] += m_Before[Cell - 1][Bucket];
  }
}

LatencyComparison::Counts
LatencyComparison::formerWithin(std::size_t From, std::size_t To) const {
  Counts Within;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
    Within[Bucket] = m_Before[To][Bucket] - m_Before[From][Bucket];
  return Within;
}

/// \returns the slowest of the former answers just before a cell, just after it
/// and around it: samples are not taken at the same instant.
LatencyComparison::Counts
LatencyComparison::formerAround(std::size_t Cell) const {
  std::size_t From = Cell - std::min(Cell, Radius);
  std::size_t To = std::min(m_Before.size() - 1, Cell + Radius + 1);
  Counts Slowest = formerWithin(From, To);
  for (const Counts &Next :
       {formerWithin(From, Cell + 1), formerWithin(Cell, To)}) {
    if (meanBucketOf(Next) > meanBucketOf(Slowest))
      Slowest = Next;
  }
  return Slowest;
}

/// \returns the former durations, with as many of each cell as the new version
/// answered then, smoothed.
std::optional<LatencyComparison::Counts> LatencyComparison::expected(
    const std::vector<const AnswerHistory::Cells *> &Targets,
    std::int64_t From) const {
  std::vector<double> New(m_Before.size());
  for (const AnswerHistory::Cells *Target : Targets) {
    for (const AnswerCell &Cell : *Target) {
      if (Cell.m_Cell >= From && Cell.m_Cell <= m_Last)
        New[indexOf(Cell.m_Cell)] += std::accumulate(
            Cell.m_Latencies.begin(), Cell.m_Latencies.end(), 0.0);
    }
  }
  Counts Sum{};
  double Weights = 0;
  double Variance = 0;
  for (std::size_t Cell = 0; Cell + 1 < m_Before.size(); ++Cell) {
    if (New[Cell] <= 0)
      continue;
    Counts Around = formerAround(Cell);
    double Former = sumOf(Around);
    if (Former < NoAnswers)
      continue;
    for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
      Sum[Bucket] += New[Cell] * Around[Bucket] / Former;
    Weights += New[Cell];
    Variance += New[Cell] * New[Cell] / Former;
  }
  if (Weights <= 0)
    return std::nullopt;
  std::size_t Begin = indexOf(From) - std::min(indexOf(From), Radius);
  double Known = sumOf(m_Before.back()) - sumOf(m_Before[Begin]);
  return smoothed(Sum, std::min(Weights * Weights / Variance, Known));
}

LatencyComparison::Halves
LatencyComparison::halvesOf(const AnswerHistory::Cells &Target,
                            std::int64_t From) const {
  Halves Sum{};
  for (const AnswerCell &Cell : Target) {
    if (Cell.m_Cell < From || Cell.m_Cell > m_Last ||
        sumOf(formerAround(indexOf(Cell.m_Cell))) < NoAnswers)
      continue;
    Counts &Half = Sum[static_cast<std::size_t>(Cell.m_Cell & 1)];
    for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket)
      Half[Bucket] += static_cast<double>(Cell.m_Latencies[Bucket]);
  }
  return Sum;
}

LatencyComparison::Odds LatencyComparison::oddsOf(const Halves &Answers,
                                                  const Model &Known) const {
  auto BestOf = [&Answers](const std::vector<Distribution> &Logs) {
    Odds Best{.m_Halves = {-1e18, -1e18}};
    for (const Distribution &Next : Logs) {
      Odds Tried{.m_Halves = {logLikelihood(Answers[0], Next),
                              logLikelihood(Answers[1], Next)}};
      if (Tried.sum() > Best.sum())
        Best = Tried;
    }
    return Best;
  };
  Odds Good = BestOf(Known.m_Good);
  Odds Bad = BestOf(Known.m_Bad);
  return {.m_Halves = {Bad.m_Halves[0] - Good.m_Halves[0],
                       Bad.m_Halves[1] - Good.m_Halves[1]}};
}

bool LatencyComparison::isEnough(const std::vector<Odds> &Targets) const {
  std::vector<double> All;
  std::vector<double> Even;
  std::vector<double> Odd;
  for (const Odds &Of : Targets) {
    All.push_back(Of.sum());
    Even.push_back(Of.m_Halves[0]);
    Odd.push_back(Of.m_Halves[1]);
  }
  double Enough = std::log(m_Settings.m_Confidence);
  std::size_t Third = thirdOf(All.size());
  if (sumWithoutWorst(All, All, Third) >= Enough)
    return true;
  if (sumWithoutWorst(All, All, crashedOf(All.size())) < Enough)
    return false;
  return sumWithoutWorst(Even, Odd, Third) +
             sumWithoutWorst(Odd, Even, Third) >=
         Enough;
}

std::optional<LatencyComparison::Finding> LatencyComparison::testSpan(
    const std::vector<const AnswerHistory::Cells *> &Targets,
    std::int64_t From) const {
  std::optional<Counts> Usual = expected(Targets, From);
  if (!Usual)
    return std::nullopt;
  Model Known(*Usual, m_Settings.m_SlowFactor);
  std::vector<Odds> Found;
  double All = 0;
  double Slow = 0;
  std::size_t Bound = 0;
  for (double Left = 0.5; Bound + 1 < Buckets && Left > (*Usual)[Bound];
       ++Bound)
    Left -= (*Usual)[Bound];
  Bound += static_cast<std::size_t>(
      std::ceil(2 * std::log2(m_Settings.m_SlowFactor)));
  for (const AnswerHistory::Cells *Target : Targets) {
    Halves Answers = halvesOf(*Target, From);
    Found.push_back(oddsOf(Answers, Known));
    for (const Counts &Half : Answers) {
      All += sumOf(Half);
      for (std::size_t Bucket = Bound; Bucket < Buckets; ++Bucket)
        Slow += Half[Bucket];
    }
  }
  if (Slow < MinSlowShare * All || !isEnough(Found))
    return std::nullopt;
  return Finding{.m_All = static_cast<std::uint64_t>(std::llround(All)),
                 .m_Bad = static_cast<std::uint64_t>(std::llround(Slow))};
}

std::optional<LatencyComparison::Finding> LatencyComparison::findSlow(
    const std::vector<const AnswerHistory::Cells *> &Targets) const {
  for (std::int64_t Span : Spans) {
    std::int64_t From = std::max(m_First, m_Last - Span + 1);
    auto Found = testSpan(Targets, From);
    if (Found || From == m_First)
      return Found;
  }
  return std::nullopt;
}

} // namespace knapweedloft::policy
