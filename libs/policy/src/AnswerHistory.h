#ifndef KNAPWEEDLOFT_POLICY_ANSWERHISTORY_H
#define KNAPWEEDLOFT_POLICY_ANSWERHISTORY_H

#include "policy/RolloutSample.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace knapweedloft::policy {

/// What one target answered on one route within one cell of time. Fractions
/// arise where a sample covers several cells.
struct AnswerCell {
  std::int64_t m_Cell = 0;
  double m_Answers = 0;
  double m_Failures = 0;
  std::array<float, RouteCounts::BucketCount> m_Latencies{};
};

/// Answers over time, by route.
class AnswerHistory {
public:
  using Cells = std::deque<AnswerCell>; ///< Ascending.

  static constexpr absl::Duration CellWidth = absl::Milliseconds(250);

  [[nodiscard]] static std::int64_t cellOf(absl::Time At);

  void add(const std::string &Route, const AnswerCell &More);
  void forget(absl::Time Before);

  [[nodiscard]] const absl::btree_map<std::string, Cells> &routes() const {
    return m_Routes;
  }
  /// \returns the cells of a route, maybe none.
  [[nodiscard]] const Cells &cellsOf(const std::string &Route) const;
  /// \returns the answers on all routes since \p First.
  [[nodiscard]] double answersSince(std::int64_t First) const;

private:
  absl::btree_map<std::string, Cells> m_Routes;
};

/// Turns the samples of one target, which only tell sums, into answers by time.
/// Durations from a cold target are left out. Not thread-safe.
class SampleDifference {
public:
  /// Differences between samples further apart say too little about when.
  static constexpr absl::Duration MaxSpan = absl::Milliseconds(1500);
  /// Requests that began cold may end this long after the target is warm.
  static constexpr absl::Duration ColdAftermath = absl::Seconds(1);

  /// Adds to \p Into what was answered since the former sample.
  void onSample(const RolloutSample &Sample, absl::Time Now,
                AnswerHistory &Into);

  [[nodiscard]] const RolloutSample &last() const { return m_Last; }
  [[nodiscard]] absl::Time lastAt() const { return m_LastAt; }
  /// \returns whether durations of the present are left out.
  [[nodiscard]] bool isCold(absl::Time Now) const { return Now < m_ColdUntil; }

private:
  [[nodiscard]] bool continues(const RolloutSample &Sample,
                               absl::Time Now) const;
  [[nodiscard]] const RouteCounts *lastOf(const std::string &Route) const;
  void add(const RouteCounts &Counts, absl::Time Now,
           AnswerHistory &Into) const;
  /// Adds what was answered since the order. Durations are left out: some may
  /// be from a cold target.
  static void addTotals(const RolloutSample &Sample, absl::Time Now,
                        AnswerHistory &Into);

  RolloutSample m_Last;
  absl::Time m_LastAt = absl::InfinitePast();
  absl::Time m_ColdUntil = absl::InfinitePast();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ANSWERHISTORY_H
