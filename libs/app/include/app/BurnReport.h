#ifndef KNAPWEEDLOFT_APP_BURNREPORT_H
#define KNAPWEEDLOFT_APP_BURNREPORT_H

#include "app/BurnCounts.h"
#include "app/LatencyHistogram.h"
#include "app/Objective.h"
#include "app/RequestMetrics.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedloft::app {

/// The windows of the report, shortest first.
enum class BurnSpan : std::uint8_t { FiveMinutes, Hour, SixHours };

inline constexpr std::size_t BurnSpanCount = 3;

inline constexpr model::NameTable<BurnSpan, BurnSpanCount> BurnSpanNames{
    {"5m", "1h", "6h"}};

[[nodiscard]] absl::Duration lengthOf(BurnSpan Span);

/// One route and customer in a report.
struct BurnRow {
  std::array<BurnCounts, BurnSpanCount> m_Counts;
  LatencyHistogram m_Histogram;
  std::array<std::uint64_t, model::RefusalReasonCount> m_ByReason{};

  void merge(const BurnRow &Other);
};

/// The service-level burn of one daemon, or of several merged. Every figure is
/// a count, so merging adds and the order does not matter.
struct BurnReport {
  Objective m_Objective;
  std::uint32_t m_Daemons = 1;
  absl::btree_map<RequestMetrics::Key, BurnRow> m_Rows;

  void merge(const BurnReport &Other);
};

/// \returns how often each reason was answered since the start, over all rows.
[[nodiscard]] std::array<std::uint64_t, model::RefusalReasonCount>
reasonsOf(const BurnReport &Report);

[[nodiscard]] BurnReport makeBurnReport(const RequestMetrics &Metrics,
                                        absl::Time Now);

/// \returns how many times faster than allowed the error budget was spent in
/// \p Counts: 1 uses it up exactly by the end of its period; 0 without
/// requests.
[[nodiscard]] double burnRate(const BurnCounts &Counts, const Objective &Goal);

/// \returns the share of the success budget of \p Counts that is left; less
/// than 0 if it is overdrawn.
[[nodiscard]] double budgetLeft(const BurnCounts &Counts,
                                const Objective &Goal);

/// \returns the share of successes that were no slower than the objective.
[[nodiscard]] double fastShare(const BurnCounts &Counts);

/// The form in which daemons give and the command reads a report.
[[nodiscard]] std::string toJson(const BurnReport &Report);

/// \throws AppError if \p Text is not a report.
[[nodiscard]] BurnReport burnReportFromJson(std::string_view Text);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_BURNREPORT_H
