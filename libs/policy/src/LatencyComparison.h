#ifndef KNAPWEEDLOFT_POLICY_LATENCYCOMPARISON_H
#define KNAPWEEDLOFT_POLICY_LATENCYCOMPARISON_H

#include "AnswerHistory.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Tests whether part of a new version's answers, or all, take several times as
/// long as those of the former version in the same cells of time: by the odds
/// between both, from the distribution of the former durations.
///
/// A target may be slower or faster by itself; only what its own speed does not
/// explain counts. The worst third of the targets is left out, as
/// VersionComparison does.
class LatencyComparison {
public:
  struct Options {
    double m_Confidence = 10'000; ///< Odds that suffice.
    double m_SlowFactor = 3;
  };

  struct Finding {
    std::uint64_t m_All = 0;
    std::uint64_t m_Bad = 0;
  };

  /// Compares the cells from \p First to \p Last.
  LatencyComparison(const Options &Settings, const AnswerHistory::Cells &Former,
                    std::int64_t First, std::int64_t Last);

  /// \returns what shows that the new version is slow, if anything does.
  [[nodiscard]] std::optional<Finding>
  findSlow(const std::vector<const AnswerHistory::Cells *> &Targets) const;

private:
  using Counts = std::array<double, RouteCounts::BucketCount>;

  /// Answers of a target, of even and of odd cells.
  using Halves = std::array<Counts, 2>;

  /// Log odds of a target, of even and of odd cells.
  struct Odds {
    std::array<double, 2> m_Halves{};
    [[nodiscard]] double sum() const { return m_Halves[0] + m_Halves[1]; }
  };

  /// Log likelihoods by bucket, by how slow a target is by itself.
  struct Model;

  [[nodiscard]] std::size_t indexOf(std::int64_t Cell) const {
    return static_cast<std::size_t>(Cell - m_First);
  }
  [[nodiscard]] Counts formerWithin(std::size_t From, std::size_t To) const;
  [[nodiscard]] Counts formerAround(std::size_t Cell) const;
  [[nodiscard]] std::optional<Counts>
  expected(const std::vector<const AnswerHistory::Cells *> &Targets,
           std::int64_t From) const;
  [[nodiscard]] Halves halvesOf(const AnswerHistory::Cells &Target,
                                std::int64_t From) const;
  [[nodiscard]] Odds oddsOf(const Halves &Answers, const Model &Known) const;
  [[nodiscard]] bool isEnough(const std::vector<Odds> &Targets) const;
  [[nodiscard]] std::optional<Finding>
  testSpan(const std::vector<const AnswerHistory::Cells *> &Targets,
           std::int64_t From) const;

  Options m_Settings;
  std::int64_t m_First;
  std::int64_t m_Last;
  std::vector<Counts> m_Before; ///< Sums of the former cells before each.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_LATENCYCOMPARISON_H
