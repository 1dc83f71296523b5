#ifndef KNAPWEEDLOFT_POLICY_VERSIONCOMPARISON_H
#define KNAPWEEDLOFT_POLICY_VERSIONCOMPARISON_H

#include "BetaBinomial.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Answers of one target, or of several, by cell of time: all and bad ones.
struct AnswerSeries {
  explicit AnswerSeries(std::size_t Cells = 0) : m_All(Cells), m_Bad(Cells) {}

  std::vector<double> m_All;
  std::vector<double> m_Bad;
};

/// Answers of one target within a span, with the bad ones that the former
/// version would have had.
struct TargetAnswers {
  double m_All = 0;
  double m_Bad = 0;
  double m_Expected = 0;

  [[nodiscard]] double excess() const { return m_Bad - m_Expected; }
  void add(const TargetAnswers &More);
};

/// Tests whether a new version has more bad answers than the former one had in
/// the same cells of time, by more than chance, in the last second or over
/// longer spans up to all. The worst third of its targets is left out. Where
/// targets have few answers each, chance alone makes a third much worse than
/// the rest; then which are the worst is told by every other cell, and the
/// answers of the cells between are tested.
///
/// Samples of different daemons are not taken at the same instant. The share
/// that a cell is held against is thus the largest of those just before it,
/// just after it and around it.
class VersionComparison {
public:
  struct Options {
    double m_Confidence = 10'000;
    double m_MinDifference = 0.05; ///< Of the shares of bad answers.
    double m_MinShare = 0;         ///< Of bad answers.
  };

  struct Finding {
    std::uint64_t m_All = 0;
    std::uint64_t m_Bad = 0;
  };

  VersionComparison(const Options &Settings, const AnswerSeries &Former);

  /// \returns what shows that the new version is worse, if anything does.
  [[nodiscard]] std::optional<Finding>
  findWorse(const std::vector<AnswerSeries> &Targets) const;

  /// Tests sums of one span. \returns as findWorse().
  [[nodiscard]] static std::optional<Finding>
  testSums(const std::vector<TargetAnswers> &Targets, double FormerAnswers,
           const Options &Settings);

private:
  [[nodiscard]] ObservedShare referenceOf(std::size_t Cell) const;
  [[nodiscard]] ObservedShare shareWithin(std::size_t From,
                                          std::size_t To) const;
  [[nodiscard]] std::optional<Finding>
  testSpan(const std::vector<AnswerSeries> &Targets, std::size_t From) const;
  [[nodiscard]] static std::optional<Finding>
  testHalves(const std::array<std::vector<TargetAnswers>, 2> &Halves,
             double FormerAnswers, const Options &Settings);

  Options m_Settings;
  std::size_t m_Cells;
  std::vector<double> m_AllBefore; ///< Sums of all cells before each.
  std::vector<double> m_BadBefore;
  std::vector<ObservedShare> m_References;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_VERSIONCOMPARISON_H
