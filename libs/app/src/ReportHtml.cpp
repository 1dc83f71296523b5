#include "app/ReportText.h"

#include "fmt/format.h"

#include <algorithm>
#include <iterator>

namespace knapweedloft::app {
namespace {

constexpr std::string_view PageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<title>Service-level burn</title>
<style>
body{font:14px sans-serif;margin:2em;max-width:70em}
table{border-collapse:collapse}
td,th{padding:.25em .7em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,td:nth-child(2),th:first-child,th:nth-child(2){text-align:left}
.over{color:#b00020;font-weight:bold}
svg{background:#f6f6f6}
</style></head><body>
)";

constexpr double ChartWidth = 656;
constexpr double ChartHeight = 120;
constexpr double BudgetSpent = 1;

std::string escape(std::string_view Text) {
  std::string Safe;
  for (char Each : Text) {
    switch (Each) {
    case '<':
      Safe += "&lt;";
      break;
    case '>':
      Safe += "&gt;";
      break;
    case '&':
      Safe += "&amp;";
      break;
    case '"':
      Safe += "&quot;";
      break;
    default:
      Safe += Each;
    }
  }
  return Safe;
}

void writeRow(fmt::memory_buffer &Out, const RequestMetrics::Key &Name,
              const BurnRow &Row, const Objective &Goal) {
  auto To = std::back_inserter(Out);
  fmt::format_to(To, "<tr><td>{}</td><td>{}</td>", escape(Name.first),
                 Name.second.empty() ? "(open)" : escape(Name.second));
  for (const BurnCounts &Counts : Row.m_Counts) {
    double Rate = burnRate(Counts, Goal);
    fmt::format_to(To, "<td{}>{:.2f}</td>",
                   Rate > BudgetSpent ? " class=\"over\"" : "", Rate);
  }
  fmt::format_to(To, "<td>{}</td></tr>\n", Row.m_Counts.back().m_Total);
}

/// A bar for each bucket of the latency histogram, scaled to the highest.
void writeLatencyChart(fmt::memory_buffer &Out, const LatencyHistogram &All) {
  std::uint64_t Highest = 1;
  for (std::size_t Bucket = 0; Bucket < LatencyHistogram::BucketCount; ++Bucket)
    Highest = std::max(Highest, All.count(Bucket));
  auto To = std::back_inserter(Out);
  fmt::format_to(To,
                 "<h2>Latency of successes</h2><svg width=\"{}\" "
                 "height=\"{}\" role=\"img\">\n",
                 ChartWidth, ChartHeight);
  double Width = ChartWidth / LatencyHistogram::BucketCount;
  for (std::size_t Bucket = 0; Bucket < LatencyHistogram::BucketCount;
       ++Bucket) {
    double Height = ChartHeight * static_cast<double>(All.count(Bucket)) /
                    static_cast<double>(Highest);
    if (Height <= 0)
      continue;
    fmt::format_to(
        To,
        "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
        "fill=\"#3367d6\"><title>up to {:.2f} ms: {}</title></rect>\n",
        Width * static_cast<double>(Bucket), ChartHeight - Height, Width - 1,
        Height, absl::ToDoubleMilliseconds(LatencyHistogram::bound(Bucket)),
        All.count(Bucket));
  }
  fmt::format_to(To,
                 "</svg><p>0.1 ms to 105 s, four bars a doubling; p50 "
                 "{:.2f} ms, p99 {:.2f} ms</p>\n",
                 absl::ToDoubleMilliseconds(All.quantile(0.5)),
                 absl::ToDoubleMilliseconds(All.quantile(0.99)));
}

void writeCustomers(fmt::memory_buffer &Out, const BurnReport &Report) {
  auto To = std::back_inserter(Out);
  fmt::format_to(To, "<h2>Customers, worst served first (last hour)</h2>"
                     "<table><tr><th>customer</th><th></th><th>success</th>"
                     "<th>requests</th></tr>\n");
  for (const ServedCustomer &Each : customersByService(Report))
    fmt::format_to(
        To,
        "<tr><td>{}</td><td><svg width=\"200\" height=\"12\"><rect "
        "width=\"{:.1f}\" height=\"12\" fill=\"#3367d6\"/></svg></td>"
        "<td>{:.3f}%</td><td>{}</td></tr>\n",
        escape(Each.m_Customer), 200 * Each.m_SuccessShare,
        100 * Each.m_SuccessShare, Each.m_Counts.m_Total);
  fmt::format_to(To, "</table>\n");
}

void writeReasons(fmt::memory_buffer &Out, const BurnReport &Report) {
  const auto Sum = reasonsOf(Report);
  auto To = std::back_inserter(Out);
  fmt::format_to(To, "<h2>Refused since start</h2><table>\n");
  for (std::size_t Index = 1; Index < Sum.size(); ++Index)
    if (Sum[Index] > 0)
      fmt::format_to(To, "<tr><td>{}</td><td></td><td>{}</td></tr>\n",
                     model::RefusalReasonNames.nameOf(
                         static_cast<model::RefusalReason>(Index)),
                     Sum[Index]);
  fmt::format_to(To, "</table>\n");
}

} // namespace

std::string toHtml(const BurnReport &Report) {
  fmt::memory_buffer Out;
  auto To = std::back_inserter(Out);
  const Objective &Goal = Report.m_Objective;
  fmt::format_to(To, "{}<h1>Service-level burn</h1>\n", PageHead);
  fmt::format_to(To,
                 "<p>Daemons: {}. Objective: {:.3f}% of requests succeed, "
                 "{:.1f}% of these within {:.0f} ms. A burn of 1 spends the "
                 "error budget exactly.</p>\n",
                 Report.m_Daemons, 100 * Goal.m_SuccessShare,
                 100 * Goal.m_LatencyShare,
                 absl::ToDoubleMilliseconds(Goal.m_Latency));
  fmt::format_to(To, "<table><tr><th>route</th><th>customer</th>"
                     "<th>burn 5m</th><th>burn 1h</th><th>burn 6h</th>"
                     "<th>requests 6h</th></tr>\n");
  LatencyHistogram All;
  for (const auto &[Name, Row] : Report.m_Rows) {
    writeRow(Out, Name, Row, Goal);
    All.merge(Row.m_Histogram);
  }
  fmt::format_to(To, "</table>\n");
  writeLatencyChart(Out, All);
  writeCustomers(Out, Report);
  writeReasons(Out, Report);
  fmt::format_to(To, "</body></html>\n");
  return fmt::to_string(Out);
}

} // namespace knapweedloft::app
