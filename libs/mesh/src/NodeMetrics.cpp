#include "NodeImpl.h"

#include "fmt/format.h"

#include <iterator>
#include <utility>

namespace knapweedloft::mesh {
namespace {

void append(std::string &Text, std::string_view Name, double Value) {
  fmt::format_to(std::back_inserter(Text), "knapweedloft_{} {}\n", Name, Value);
}

void appendLatency(std::string &Text, std::string_view Name,
                   const app::LatencyHistogram &Latency) {
  for (double Share : {0.5, 0.9, 0.99})
    fmt::format_to(std::back_inserter(Text),
                   "knapweedloft_{}_seconds{{quantile=\"{}\"}} {}\n", Name,
                   Share, absl::ToDoubleSeconds(Latency.quantile(Share)));
  fmt::format_to(std::back_inserter(Text), "knapweedloft_{}_seconds_count {}\n",
                 Name, Latency.total());
}

void appendQuarantine(std::string &Text,
                      const policy::CrashEvidence &Evidence) {
  absl::Time Now = io::monotonicNow();
  for (policy::RequestStanding Standing :
       {policy::RequestStanding::Suspect, policy::RequestStanding::Isolated,
        policy::RequestStanding::Probation,
        policy::RequestStanding::Quarantined})
    fmt::format_to(std::back_inserter(Text),
                   "knapweedloft_crashing_requests{{standing=\"{}\"}} {}\n",
                   policy::RequestStandingNames.nameOf(Standing),
                   Evidence.requestsOf(Standing, Now).size());
  append(Text, "crash_reports_known", static_cast<double>(Evidence.crashes()));
}

void appendLoadReports(std::string &Text, const TargetLoadReports &Reports) {
  absl::Time Now = io::monotonicNow();
  const TargetLoadReports::Counts &Counts = Reports.counts();
  append(Text, "target_load_reports_total",
         static_cast<double>(Counts.m_Reports));
  for (auto [Why, Count] : {std::pair("bad_slots", Counts.m_BadSlots),
                            std::pair("bad_pace", Counts.m_BadPaces),
                            std::pair("frozen", Counts.m_Frozen),
                            std::pair("contradicted", Counts.m_Contradicted)})
    fmt::format_to(std::back_inserter(Text),
                   "knapweedloft_target_load_ignored_total{{why=\"{}\"}} {}\n",
                   Why, Count);
  if (Reports.pacePercent(Now) == 0)
    return;
  const policy::PaceFilter &Filter = Reports.filter();
  append(Text, "target_pace", Reports.pace(absl::ZeroDuration(), Now));
  append(Text, "target_pace_age_seconds",
         absl::ToDoubleSeconds(Filter.age(Now)));
  append(Text, "target_pace_half_life_seconds",
         absl::ToDoubleSeconds(Filter.halfLife()));
  append(Text, "target_pace_confirmed", Filter.confirmedShare());
}

void appendLeaving(std::string &Text, const LeaveReports &Leaving) {
  for (const auto &Entry : Leaving.byService()) {
    const std::string &Service = Entry.first;
    const auto &Counts = Entry.second;
    auto Append = [&](std::string_view Name, double Value) {
      fmt::format_to(std::back_inserter(Text),
                     "knapweedloft_entry_{}{{service=\"{}\"}} {}\n", Name,
                     Service, Value);
    };
    Append("stayed_total", static_cast<double>(Counts.m_Stayed));
    Append("left_total", static_cast<double>(Counts.m_Left));
    Append("left_bytes_total", static_cast<double>(Counts.m_LeftBytes));
    Append("leaving_share", Counts.m_Share);
  }
}

void appendConnections(std::string &Text,
                       const http::ConnectionCounts &Counts) {
  for (std::size_t Index = 0; Index < Counts.m_Opened.size(); ++Index)
    fmt::format_to(std::back_inserter(Text),
                   "knapweedloft_connections_opened_total{{why=\"{}\"}} {}\n",
                   http::ConnectionNeedNames.nameOf(
                       static_cast<http::ConnectionNeed>(Index)),
                   Counts.m_Opened[Index]);
  for (std::size_t Index = 0; Index < Counts.m_Closed.size(); ++Index)
    fmt::format_to(std::back_inserter(Text),
                   "knapweedloft_connections_closed_total{{why=\"{}\"}} {}\n",
                   http::ConnectionEndNames.nameOf(
                       static_cast<http::ConnectionEnd>(Index)),
                   Counts.m_Closed[Index]);
}

void appendCallerConnections(std::string &Text,
                             const http::CallerConnectionCounts &Counts) {
  append(Text, "caller_bytes_read_total",
         static_cast<double>(Counts.m_BytesRead));
  for (std::size_t Index = 0; Index < Counts.m_Closed.size(); ++Index) {
    std::string_view Why = http::CallerConnectionEndNames.nameOf(
        static_cast<http::CallerConnectionEnd>(Index));
    fmt::format_to(
        std::back_inserter(Text),
        "knapweedloft_caller_connections_closed_total{{why=\"{}\"}} {}\n"
        "knapweedloft_caller_requests_unanswered_total{{why=\"{}\"}} {}\n",
        Why, Counts.m_Closed[Index], Why, Counts.m_Unanswered[Index]);
  }
}

} // namespace

std::string Node::Impl::metricsText() const {
  std::string Text;
  const EntryCounts &Entry = m_Entry->counts();
  append(Text, "entry_requests_total", static_cast<double>(Entry.m_Requests));
  append(Text, "entry_calls_total", static_cast<double>(Entry.m_Calls));
  append(Text, "entry_answered_total", static_cast<double>(Entry.m_Answered));
  append(Text, "entry_target_errors_total",
         static_cast<double>(Entry.m_TargetErrors));
  append(Text, "entry_repeats_total", static_cast<double>(Entry.m_Retries));
  append(Text, "entry_reroutes_total", static_cast<double>(Entry.m_Reroutes));
  append(Text, "entry_gone_total",
         static_cast<double>(Entry.m_CallerDisconnects));
  append(Text, "entry_pending", static_cast<double>(m_Entry->pending()));
  for (std::size_t Index = 0; Index < Entry.m_RefusedByReason.size(); ++Index) {
    if (Entry.m_RefusedByReason[Index] == 0)
      continue;
    auto Reason = static_cast<model::RefusalReason>(Index);
    fmt::format_to(std::back_inserter(Text),
                   "knapweedloft_entry_refused_total{{reason=\"{}\"}} {}\n",
                   model::RefusalReasonNames.nameOf(Reason),
                   Entry.m_RefusedByReason[Index]);
  }
  Entry.m_ByRoute.appendTo(Text, "entry_by_route_total", "route");
  Entry.m_ByCustomer.appendTo(Text, "entry_by_customer_total", "customer");
  Entry.m_ByService.appendTo(Text, "entry_by_service_total", "service");
  appendLatency(Text, "entry_latency", Entry.m_Latency);
  const TargetCounts &Target = m_Target->counts();
  append(Text, "target_forwards_total", static_cast<double>(Target.m_Forwards));
  append(Text, "target_started_total", static_cast<double>(Target.m_Started));
  append(Text, "target_answered_total", static_cast<double>(Target.m_Answered));
  append(Text, "target_refused_total", static_cast<double>(Target.m_Refused));
  append(Text, "target_shed_total", static_cast<double>(Target.m_TargetShed));
  append(Text, "target_broken_total", static_cast<double>(Target.m_Incomplete));
  append(Text, "target_malformed_total",
         static_cast<double>(Target.m_Malformed));
  append(Text, "target_cancelled_total",
         static_cast<double>(Target.m_Cancelled));
  append(Text, "target_checks_total", static_cast<double>(Target.m_Checks));
  append(Text, "target_crashes_total", static_cast<double>(Target.m_Crashes));
  append(Text, "target_queued", static_cast<double>(m_Target->queued()));
  append(Text, "target_cold", m_Target->isCold(io::monotonicNow()) ? 1 : 0);
  append(Text, "target_cold_starts_total",
         static_cast<double>(m_Target->coldStarts().starts()));
  append(Text, "target_cold_starts_most_in_one_second",
         static_cast<double>(m_Target->coldStarts().mostInOneSecond()));
  append(Text, "target_rate_limit", m_Target->rateLimit());
  append(Text, "target_rate_limited_starts_total",
         static_cast<double>(Target.m_PacedStarts));
  appendLoadReports(Text, m_Target->loadReports());
  append(Text, "target_open", m_Target->state().isOpen() ? 1 : 0);
  appendLatency(Text, "target_wait", Target.m_Wait);
  appendLatency(Text, "target_run", Target.m_Run);
  appendQuarantine(Text, m_Quarantine->evidence());
  if (m_Rollouts)
    m_Rollouts->appendMetrics(Text, io::monotonicNow());
  appendLeaving(Text, m_Entry->leaving());
  append(Text, "config_version",
         m_Catalog ? static_cast<double>(m_Catalog->version()) : 0);
  append(Text, "store_era", static_cast<double>(m_Operator->era()));
  append(Text, "store_reached", m_Operator->isStoreAvailable() ? 1 : 0);
  append(Text, "peers_linked", static_cast<double>(m_Peers->linked()));
  append(Text, "peers_known", static_cast<double>(m_Peers->daemons() - 1));
  appendConnections(Text, m_Client->counts());
  appendCallerConnections(Text, m_Callers->counts());
  for (std::size_t Index = 0; Index < 3; ++Index) {
    auto Kind = static_cast<telemetry::Importance>(Index);
    fmt::format_to(std::back_inserter(Text),
                   "knapweedloft_log_dropped_total{{kind=\"{}\"}} {}\n",
                   telemetry::ImportanceNames.nameOf(Kind),
                   m_EventLog.dropped(Kind));
  }
  return Text;
}

} // namespace knapweedloft::mesh
