#include "app/ReportText.h"

#include "fmt/format.h"

#include <algorithm>
#include <iterator>

namespace knapweedloft::app {
namespace {

constexpr std::size_t WorstCustomers = 5;
constexpr auto HourIndex = static_cast<std::size_t>(BurnSpan::Hour);
constexpr double Percent = 100;

double successShare(const BurnCounts &Counts) {
  if (Counts.m_Total == 0)
    return 1;
  return 1 - static_cast<double>(Counts.m_Failed) /
                 static_cast<double>(Counts.m_Total);
}

std::string showLatency(absl::Duration Latency) {
  if (Latency == absl::ZeroDuration())
    return "-"; // Nothing succeeded.
  if (Latency == absl::InfiniteDuration())
    return "> limit";
  return fmt::format("{:.1f} ms", absl::ToDoubleMilliseconds(Latency));
}

std::string showCustomer(const std::string &Customer) {
  return Customer.empty() ? "(open)" : Customer;
}

void writeRow(fmt::memory_buffer &Out, const RequestMetrics::Key &Name,
              const BurnRow &Row, const Objective &Goal) {
  auto To = std::back_inserter(Out);
  fmt::format_to(To, "{:<16} {:<16}", Name.first, showCustomer(Name.second));
  for (const BurnCounts &Counts : Row.m_Counts)
    fmt::format_to(To, " {:>9.2f}", burnRate(Counts, Goal));
  const BurnCounts &Longest = Row.m_Counts.back();
  fmt::format_to(To, " {:>8.1f}% {:>9} {:>8.2f}% {:>11} {:>11}\n",
                 Percent * budgetLeft(Longest, Goal), Longest.m_Total,
                 Percent * fastShare(Longest),
                 showLatency(Row.m_Histogram.quantile(0.5)),
                 showLatency(Row.m_Histogram.quantile(0.99)));
}

void writeReasons(fmt::memory_buffer &Out, const BurnReport &Report) {
  const auto Sum = reasonsOf(Report);
  auto To = std::back_inserter(Out);
  fmt::format_to(To, "\nRefused since start\n");
  for (std::size_t Index = 1; Index < Sum.size(); ++Index)
    if (Sum[Index] > 0)
      fmt::format_to(To, "  {:<22} {}\n",
                     model::RefusalReasonNames.nameOf(
                         static_cast<model::RefusalReason>(Index)),
                     Sum[Index]);
}

} // namespace

std::vector<ServedCustomer> customersByService(const BurnReport &Report) {
  absl::btree_map<std::string, BurnCounts> Sums;
  for (const auto &[Name, Row] : Report.m_Rows)
    if (!Name.second.empty())
      Sums[Name.second].add(Row.m_Counts[HourIndex]);
  std::vector<ServedCustomer> Customers;
  for (const auto &[Name, Counts] : Sums)
    Customers.push_back({Name, Counts, successShare(Counts)});
  std::stable_sort(Customers.begin(), Customers.end(),
                   [](const ServedCustomer &Left, const ServedCustomer &Right) {
                     return Left.m_SuccessShare < Right.m_SuccessShare;
                   });
  return Customers;
}

std::string toText(const BurnReport &Report) {
  fmt::memory_buffer Out;
  auto To = std::back_inserter(Out);
  const Objective &Goal = Report.m_Objective;
  fmt::format_to(To,
                 "Service-level burn, daemons: {}\n"
                 "Objective: {:.3f}% succeed, {:.1f}% of these within {}\n"
                 "A burn of 1 spends the error budget exactly.\n\n",
                 Report.m_Daemons, Percent * Goal.m_SuccessShare,
                 Percent * Goal.m_LatencyShare, showLatency(Goal.m_Latency));
  fmt::format_to(To,
                 "{:<16} {:<16} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} "
                 "{:>11} {:>11}\n",
                 "route", "customer", "burn 5m", "burn 1h", "burn 6h", "budget",
                 "requests", "fast", "p50", "p99");
  for (const auto &[Name, Row] : Report.m_Rows)
    writeRow(Out, Name, Row, Goal);
  fmt::format_to(To, "\nWorst-served customers, last hour\n");
  std::vector<ServedCustomer> Customers = customersByService(Report);
  Customers.resize(std::min(Customers.size(), WorstCustomers));
  for (const ServedCustomer &Each : Customers)
    fmt::format_to(To, "  {:<22} {:.3f}% of {}\n", Each.m_Customer,
                   Percent * Each.m_SuccessShare, Each.m_Counts.m_Total);
  writeReasons(Out, Report);
  return fmt::to_string(Out);
}

} // namespace knapweedloft::app
