#include "app/BurnReport.h"

namespace knapweedloft::app {

absl::Duration lengthOf(BurnSpan Span) {
  switch (Span) {
  case BurnSpan::FiveMinutes:
    return absl::Minutes(5);
  case BurnSpan::Hour:
    return absl::Hours(1);
  case BurnSpan::SixHours:
    break;
  }
  return absl::Hours(6);
}

void BurnRow::merge(const BurnRow &Other) {
  for (std::size_t Span = 0; Span < BurnSpanCount; ++Span)
    m_Counts[Span].add(Other.m_Counts[Span]);
  m_Histogram.merge(Other.m_Histogram);
  for (std::size_t Index = 0; Index < m_ByReason.size(); ++Index)
    m_ByReason[Index] += Other.m_ByReason[Index];
}

void BurnReport::merge(const BurnReport &Other) {
  m_Daemons += Other.m_Daemons;
  for (const auto &[Name, Row] : Other.m_Rows)
    m_Rows[Name].merge(Row);
}

std::array<std::uint64_t, model::RefusalReasonCount>
reasonsOf(const BurnReport &Report) {
  std::array<std::uint64_t, model::RefusalReasonCount> Sum{};
  for (const auto &[Name, Row] : Report.m_Rows)
    for (std::size_t Index = 0; Index < Sum.size(); ++Index)
      Sum[Index] += Row.m_ByReason[Index];
  return Sum;
}

BurnReport makeBurnReport(const RequestMetrics &Metrics, absl::Time Now) {
  BurnReport Report;
  Report.m_Objective = Metrics.objective();
  Metrics.forEach(
      [&](const RequestMetrics::Key &Name, const RequestSeries &Series) {
        BurnRow Row;
        for (std::size_t Span = 0; Span < BurnSpanCount; ++Span)
          Row.m_Counts[Span] =
              Series.m_Window.sum(lengthOf(static_cast<BurnSpan>(Span)), Now);
        Row.m_Histogram = Series.m_Histogram;
        Row.m_ByReason = Series.m_ByReason;
        Report.m_Rows[Name].merge(Row);
      });
  return Report;
}

double burnRate(const BurnCounts &Counts, const Objective &Goal) {
  if (Counts.m_Total == 0)
    return 0;
  double FailedShare = static_cast<double>(Counts.m_Failed) /
                       static_cast<double>(Counts.m_Total);
  return FailedShare / (1 - Goal.m_SuccessShare);
}

double budgetLeft(const BurnCounts &Counts, const Objective &Goal) {
  return 1 - burnRate(Counts, Goal);
}

double fastShare(const BurnCounts &Counts) {
  std::uint32_t Succeeded = Counts.m_Total - Counts.m_Failed;
  if (Succeeded == 0)
    return 1;
  return 1 -
         static_cast<double>(Counts.m_Slow) / static_cast<double>(Succeeded);
}

} // namespace knapweedloft::app
