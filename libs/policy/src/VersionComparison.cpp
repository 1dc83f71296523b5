#include "VersionComparison.h"

#include "LeftOut.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace knapweedloft::policy {

namespace {

/// Cells around one that count as the same time: the first with any answers of
/// the former version.
constexpr std::array<std::size_t, 3> Radii = {2, 8, 20};
/// Spans, in cells up to the present, over which versions are compared. Short
/// ones show badness that began late.
constexpr std::array<std::size_t, 5> Spans = {4, 8, 16, 32, 1'000};
constexpr double RoundingTolerance = 1e-3;

/// \returns the sum over all but the \p LeftOut worst, as told by \p Judged.
TargetAnswers sumWithoutWorst(const std::vector<TargetAnswers> &Targets,
                              const std::vector<TargetAnswers> &Judged,
                              std::size_t LeftOut) {
  std::vector<double> Excesses;
  Excesses.reserve(Judged.size());
  for (const TargetAnswers &Of : Judged)
    Excesses.push_back(Of.excess());
  TargetAnswers Sum;
  for (std::size_t Index : withoutWorst(Excesses, LeftOut))
    Sum.add(Targets[Index]);
  return Sum;
}

std::optional<VersionComparison::Finding>
testSum(const TargetAnswers &Sum, double FormerAnswers,
        const VersionComparison::Options &Settings) {
  if (Sum.m_All <= 0)
    return std::nullopt;
  double Limit = std::max(Sum.m_Expected / Sum.m_All + Settings.m_MinDifference,
                          Settings.m_MinShare);
  if (Limit >= 1 || Sum.m_Bad / Sum.m_All <= Limit)
    return std::nullopt;
  VersionComparison::Finding Found{
      .m_All =
          static_cast<std::uint64_t>(std::ceil(Sum.m_All - RoundingTolerance)),
      .m_Bad = static_cast<std::uint64_t>(
          std::floor(Sum.m_Bad + RoundingTolerance))};
  double Enough = 1 / Settings.m_Confidence;
  ObservedShare Expected{.m_Share = Limit, .m_Observations = FormerAnswers};
  if (tailProbability(Found.m_Bad, Found.m_All, Expected, Enough) > Enough)
    return std::nullopt;
  return Found;
}

bool hasAnswers(const AnswerSeries &Series) {
  return std::any_of(Series.m_All.begin(), Series.m_All.end(),
                     [](double Answers) { return Answers > 0; });
}

} // namespace

void TargetAnswers::add(const TargetAnswers &More) {
  m_All += More.m_All;
  m_Bad += More.m_Bad;
  m_Expected += More.m_Expected;
}

VersionComparison::VersionComparison(const Options &Settings,
                                     const AnswerSeries &Former)
    : m_Settings(Settings), m_Cells(Former.m_All.size()), m_AllBefore(1),
      m_BadBefore(1) {
  for (std::size_t Cell = 0; Cell < m_Cells; ++Cell) {
    m_AllBefore.push_back(m_AllBefore.back() + Former.m_All[Cell]);
    m_BadBefore.push_back(m_BadBefore.back() + Former.m_Bad[Cell]);
  }
  for (std::size_t Cell = 0; Cell < m_Cells; ++Cell)
    m_References.push_back(referenceOf(Cell));
}

ObservedShare VersionComparison::shareWithin(std::size_t From,
                                             std::size_t To) const {
  double All = m_AllBefore[To] - m_AllBefore[From];
  if (All <= RoundingTolerance)
    return {};
  double Bad = m_BadBefore[To] - m_BadBefore[From];
  return {.m_Share = std::clamp(Bad / All, 0.0, 1.0), .m_Observations = All};
}

ObservedShare VersionComparison::referenceOf(std::size_t Cell) const {
  for (std::size_t Radius : Radii) {
    std::size_t From = Cell - std::min(Cell, Radius);
    std::size_t To = std::min(m_Cells, Cell + Radius + 1);
    ObservedShare Around = shareWithin(From, To);
    if (Around.m_Observations == 0)
      continue;
    Around.m_Share =
        std::max({Around.m_Share, shareWithin(From, Cell + 1).m_Share,
                  shareWithin(Cell, To).m_Share});
    return Around;
  }
  return {};
}

std::optional<VersionComparison::Finding>
VersionComparison::testSums(const std::vector<TargetAnswers> &Targets,
                            double FormerAnswers, const Options &Settings) {
  TargetAnswers Sum =
      sumWithoutWorst(Targets, Targets, thirdOf(Targets.size()));
  return testSum(Sum, FormerAnswers, Settings);
}

std::optional<VersionComparison::Finding> VersionComparison::testHalves(
    const std::array<std::vector<TargetAnswers>, 2> &Halves,
    double FormerAnswers, const Options &Settings) {
  std::vector<TargetAnswers> All = Halves[0];
  for (std::size_t Index = 0; Index < All.size(); ++Index)
    All[Index].add(Halves[1][Index]);
  if (auto Found = testSums(All, FormerAnswers, Settings))
    return Found;

  TargetAnswers WithoutCrashed =
      sumWithoutWorst(All, All, crashedOf(All.size()));
  if (!testSum(WithoutCrashed, FormerAnswers, Settings))
    return std::nullopt;
  std::size_t Third = thirdOf(All.size());
  TargetAnswers Sum = sumWithoutWorst(Halves[0], Halves[1], Third);
  Sum.add(sumWithoutWorst(Halves[1], Halves[0], Third));
  return testSum(Sum, FormerAnswers, Settings);
}

std::optional<VersionComparison::Finding>
VersionComparison::testSpan(const std::vector<AnswerSeries> &Targets,
                            std::size_t From) const {
  std::array<std::vector<TargetAnswers>, 2> Halves;
  Halves.fill(std::vector<TargetAnswers>(Targets.size()));
  double Weights = 0;
  double Variance = 0;
  for (std::size_t Cell = From; Cell < m_Cells; ++Cell) {
    const ObservedShare &Reference = m_References[Cell];
    if (Reference.m_Observations == 0)
      continue;
    double CellAnswers = 0;
    for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
      double All = Targets[Index].m_All[Cell];
      CellAnswers += All;
      Halves[Cell % 2][Index].add({.m_All = All,
                                   .m_Bad = Targets[Index].m_Bad[Cell],
                                   .m_Expected = All * Reference.m_Share});
    }
    Weights += CellAnswers;
    Variance += CellAnswers * CellAnswers / Reference.m_Observations;
  }
  if (Weights <= 0)
    return std::nullopt;
  std::size_t Before = From - std::min(From, Radii.back());
  double FormerAnswers = std::min(Weights * Weights / Variance,
                                  shareWithin(Before, m_Cells).m_Observations);
  return testHalves(Halves, FormerAnswers, m_Settings);
}

std::optional<VersionComparison::Finding>
VersionComparison::findWorse(const std::vector<AnswerSeries> &Targets) const {
  std::vector<AnswerSeries> Answering;
  std::copy_if(Targets.begin(), Targets.end(), std::back_inserter(Answering),
               hasAnswers);
  for (std::size_t Span : Spans) {
    auto Found = testSpan(Answering, m_Cells - std::min(m_Cells, Span));
    if (Found || Span >= m_Cells)
      return Found;
  }
  return std::nullopt;
}

} // namespace knapweedloft::policy
