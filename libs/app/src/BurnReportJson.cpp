#include "app/AppError.h"
#include "app/BurnReport.h"

#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace knapweedloft::app {
namespace {

using nlohmann::json;

json toJson(const BurnCounts &Counts) {
  return {{"total", Counts.m_Total},
          {"failed", Counts.m_Failed},
          {"refused", Counts.m_Refused},
          {"slow", Counts.m_Slow}};
}

BurnCounts countsFromJson(const json &Object) {
  BurnCounts Counts;
  Counts.m_Total = Object.at("total").get<std::uint32_t>();
  Counts.m_Failed = Object.at("failed").get<std::uint32_t>();
  Counts.m_Refused = Object.at("refused").get<std::uint32_t>();
  Counts.m_Slow = Object.at("slow").get<std::uint32_t>();
  return Counts;
}

json rowToJson(const RequestMetrics::Key &Name, const BurnRow &Row) {
  json Windows = json::object();
  for (std::size_t Span = 0; Span < BurnSpanCount; ++Span) {
    auto Which = static_cast<BurnSpan>(Span);
    Windows[std::string(BurnSpanNames.nameOf(Which))] =
        toJson(Row.m_Counts[Span]);
  }
  json Reasons = json::object();
  for (std::size_t Index = 0; Index < Row.m_ByReason.size(); ++Index) {
    auto Reason = static_cast<model::RefusalReason>(Index);
    if (Row.m_ByReason[Index] > 0)
      Reasons[std::string(model::RefusalReasonNames.nameOf(Reason))] =
          Row.m_ByReason[Index];
  }
  json Latency = json::array();
  for (std::size_t Bucket = 0; Bucket < LatencyHistogram::BucketCount; ++Bucket)
    Latency.push_back(Row.m_Histogram.count(Bucket));
  return {{"route", Name.first},
          {"customer", Name.second},
          {"windows", std::move(Windows)},
          {"reasons", std::move(Reasons)},
          {"latency_counts", std::move(Latency)}};
}

BurnRow rowFromJson(const json &Object) {
  BurnRow Row;
  for (std::size_t Span = 0; Span < BurnSpanCount; ++Span) {
    auto Which = static_cast<BurnSpan>(Span);
    Row.m_Counts[Span] = countsFromJson(
        Object.at("windows").at(std::string(BurnSpanNames.nameOf(Which))));
  }
  for (const auto &[Name, Count] : Object.at("reasons").items()) {
    auto Reason = model::RefusalReasonNames.valueOf(Name);
    if (!Reason)
      throw AppError(fmt::format("report: unknown reason '{}'", Name));
    Row.m_ByReason[static_cast<std::size_t>(*Reason)] =
        Count.get<std::uint64_t>();
  }
  const json &Latency = Object.at("latency_counts");
  if (Latency.size() != LatencyHistogram::BucketCount)
    throw AppError("report: 'latency_counts' has another number of buckets");
  for (std::size_t Bucket = 0; Bucket < Latency.size(); ++Bucket)
    Row.m_Histogram.setCount(Bucket, Latency[Bucket].get<std::uint64_t>());
  return Row;
}

} // namespace

std::string toJson(const BurnReport &Report) {
  json Rows = json::array();
  for (const auto &[Name, Row] : Report.m_Rows)
    Rows.push_back(rowToJson(Name, Row));
  json Object = {{"objective",
                  {{"success_share", Report.m_Objective.m_SuccessShare},
                   {"latency_ms",
                    absl::ToDoubleMilliseconds(Report.m_Objective.m_Latency)},
                   {"latency_share", Report.m_Objective.m_LatencyShare}}},
                 {"daemons", Report.m_Daemons},
                 {"rows", std::move(Rows)}};
  return Object.dump();
}

BurnReport burnReportFromJson(std::string_view Text) {
  try {
    json Object = json::parse(Text);
    BurnReport Report;
    const json &Goal = Object.at("objective");
    Report.m_Objective.m_SuccessShare = Goal.at("success_share").get<double>();
    Report.m_Objective.m_Latency =
        absl::Milliseconds(Goal.at("latency_ms").get<double>());
    Report.m_Objective.m_LatencyShare = Goal.at("latency_share").get<double>();
    Report.m_Daemons = Object.at("daemons").get<std::uint32_t>();
    for (const json &Row : Object.at("rows"))
      Report
          .m_Rows[{Row.at("route").get<std::string>(),
                   Row.at("customer").get<std::string>()}]
          .merge(rowFromJson(Row));
    return Report;
  } catch (const json::exception &Error) {
    throw AppError(fmt::format("report: {}", Error.what()));
  }
}

} // namespace knapweedloft::app
