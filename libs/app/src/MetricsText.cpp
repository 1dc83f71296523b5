#include "app/MetricsText.h"

#include "fmt/format.h"

#include <iterator>

namespace knapweedloft::app {
namespace {

struct SeriesSum {
  LatencyHistogram m_Histogram;
  double m_LatencySum = 0;
  std::uint64_t m_Attempts = 0;
  std::uint64_t m_TargetErrors = 0;
  std::array<std::uint64_t, model::RefusalReasonCount> m_ByReason{};
};

using Sums = absl::btree_map<RequestMetrics::Key, SeriesSum>;

Sums sumShards(const RequestMetrics &Metrics) {
  Sums All;
  Metrics.forEach(
      [&All](const RequestMetrics::Key &Name, const RequestSeries &Series) {
        SeriesSum &Sum = All[Name];
        Sum.m_Histogram.merge(Series.m_Histogram);
        Sum.m_LatencySum += boost::accumulators::sum(Series.m_Latency);
        Sum.m_Attempts += Series.m_Attempts;
        Sum.m_TargetErrors += Series.m_TargetErrors;
        for (std::size_t Index = 0; Index < Sum.m_ByReason.size(); ++Index)
          Sum.m_ByReason[Index] += Series.m_ByReason[Index];
      });
  return All;
}

std::string labelsOf(const RequestMetrics::Key &Name) {
  return fmt::format("route=\"{}\",customer=\"{}\"", Name.first, Name.second);
}

void writeRequests(fmt::memory_buffer &Out, const Sums &All) {
  auto To = std::back_inserter(Out);
  fmt::format_to(To, "# TYPE knapweedloft_requests_total counter\n");
  for (const auto &[Name, Sum] : All)
    for (std::size_t Index = 0; Index < Sum.m_ByReason.size(); ++Index)
      if (Sum.m_ByReason[Index] > 0)
        fmt::format_to(To,
                       "knapweedloft_requests_total{{{},reason=\"{}\"}} {}\n",
                       labelsOf(Name),
                       model::RefusalReasonNames.nameOf(
                           static_cast<model::RefusalReason>(Index)),
                       Sum.m_ByReason[Index]);
  fmt::format_to(To, "# TYPE knapweedloft_attempts_total counter\n");
  for (const auto &[Name, Sum] : All)
    fmt::format_to(To, "knapweedloft_attempts_total{{{}}} {}\n", labelsOf(Name),
                   Sum.m_Attempts);
  fmt::format_to(To, "# TYPE knapweedloft_target_errors_total counter\n");
  for (const auto &[Name, Sum] : All)
    fmt::format_to(To, "knapweedloft_target_errors_total{{{}}} {}\n",
                   labelsOf(Name), Sum.m_TargetErrors);
}

void writeLatencies(fmt::memory_buffer &Out, const Sums &All) {
  auto To = std::back_inserter(Out);
  fmt::format_to(To, "# TYPE knapweedloft_latency_seconds histogram\n");
  for (const auto &[Name, Sum] : All) {
    std::string Labels = labelsOf(Name);
    std::uint64_t Below = 0;
    for (std::size_t Bucket = 0; Bucket + 1 < LatencyHistogram::BucketCount;
         ++Bucket) {
      std::uint64_t Count = Sum.m_Histogram.count(Bucket);
      Below += Count;
      if (Count > 0)
        fmt::format_to(
            To, "knapweedloft_latency_seconds_bucket{{{},le=\"{:.6g}\"}} {}\n",
            Labels, absl::ToDoubleSeconds(LatencyHistogram::bound(Bucket)),
            Below);
    }
    fmt::format_to(To,
                   "knapweedloft_latency_seconds_bucket{{{},le=\"+Inf\"}} {}\n",
                   Labels, Sum.m_Histogram.total());
    fmt::format_to(To, "knapweedloft_latency_seconds_sum{{{}}} {:.9g}\n",
                   Labels, Sum.m_LatencySum);
    fmt::format_to(To, "knapweedloft_latency_seconds_count{{{}}} {}\n", Labels,
                   Sum.m_Histogram.total());
  }
}

void writeGauge(fmt::memory_buffer &Out, std::string_view Name, double Value) {
  fmt::format_to(std::back_inserter(Out),
                 "# TYPE knapweedloft_{} gauge\nknapweedloft_{} {:.15g}\n",
                 Name, Name, Value);
}

} // namespace

std::string toPrometheusText(const RequestMetrics &Metrics,
                             const DaemonGauges &Gauges) {
  fmt::memory_buffer Out;
  Sums All = sumShards(Metrics);
  writeRequests(Out, All);
  writeLatencies(Out, All);
  writeGauge(Out, "applied_offset",
             static_cast<double>(Gauges.m_AppliedOffset));
  writeGauge(Out, "links", static_cast<double>(Gauges.m_Links));
  writeGauge(Out, "pending_entry", static_cast<double>(Gauges.m_PendingEntry));
  writeGauge(Out, "pending_target",
             static_cast<double>(Gauges.m_PendingTarget));
  writeGauge(Out, "target_limit", Gauges.m_Limit);
  writeGauge(Out, "target_shed_level", Gauges.m_ShedLevel);
  writeGauge(Out, "target_is_ramping", Gauges.m_IsRamping ? 1 : 0);
  writeGauge(Out, "state_is_fresh", Gauges.m_IsStateFresh ? 1 : 0);
  writeGauge(Out, "link_sent_bytes",
             static_cast<double>(Gauges.m_Traffic.m_BytesSent));
  writeGauge(Out, "link_sent_frames",
             static_cast<double>(Gauges.m_Traffic.m_FramesSent));
  writeGauge(Out, "link_received_bytes",
             static_cast<double>(Gauges.m_Traffic.m_BytesReceived));
  return fmt::to_string(Out);
}

} // namespace knapweedloft::app
