#include "caller/LoadReport.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::caller {
namespace {

void addAll(std::map<std::string, std::uint64_t> &To,
            const std::map<std::string, std::uint64_t> &From) {
  for (const auto &[Name, Count] : From)
    To[Name] += Count;
}

nlohmann::json jsonOf(const CustomerReport &Report) {
  return {{"calls", Report.m_Calls},         {"attempts", Report.m_Attempts},
          {"succeeded", Report.m_Succeeded}, {"by_status", Report.m_ByStatus},
          {"by_reason", Report.m_ByReason},  {"by_ran", Report.m_ByRan}};
}

} // namespace

absl::Duration LoadReport::latency(double Quantile) const {
  if (m_Latencies.empty())
    return absl::ZeroDuration();
  auto Rank = static_cast<std::size_t>(
      std::ceil(Quantile * static_cast<double>(m_Latencies.size())));
  return m_Latencies[std::clamp<std::size_t>(Rank, 1, m_Latencies.size()) - 1];
}

CustomerReport LoadReport::total() const {
  CustomerReport Total;
  for (const auto &[Name, Report] : m_Customers) {
    Total.m_Calls += Report.m_Calls;
    Total.m_Attempts += Report.m_Attempts;
    Total.m_Succeeded += Report.m_Succeeded;
    addAll(Total.m_ByStatus, Report.m_ByStatus);
    addAll(Total.m_ByReason, Report.m_ByReason);
    addAll(Total.m_ByRan, Report.m_ByRan);
  }
  return Total;
}

nlohmann::json LoadReport::toJson() const {
  nlohmann::json Result = jsonOf(total());
  const double Seconds = absl::ToDoubleSeconds(m_Duration);
  Result["wrong_answers"] = m_WrongAnswers;
  Result["seconds"] = Seconds;
  Result["goodput_per_second"] =
      Seconds > 0 ? static_cast<double>(total().m_Succeeded) / Seconds : 0;
  for (const auto &[Name, Quantile] : {std::pair{"p50", 0.5},
                                       {"p90", 0.9},
                                       {"p99", 0.99},
                                       {"p999", 0.999},
                                       {"max", 1.0}})
    Result["latency_us"][Name] = absl::ToDoubleMicroseconds(latency(Quantile));
  for (const auto &[Name, Report] : m_Customers)
    Result["customers"][Name] = jsonOf(Report);
  for (const Attempt &One : m_AttemptList)
    Result["attempt_list"].push_back(
        {{"id", One.m_Id}, {"status", One.m_Status}, {"ran", One.m_Ran}});
  return Result;
}

} // namespace knapweedloft::caller
