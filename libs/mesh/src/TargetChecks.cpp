// The part of TargetPath that tracks the target's state: reports, health
// checks, cold times and withdrawal.
#include "mesh/TargetPath.h"

#include "http/MessageText.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using http::Failure;
using model::RefusalReason;

constexpr int OkStatus = 200;
/// A cold target repeats its cold time in each report; smaller changes than
/// this are not logged.
constexpr absl::Duration LoggedColdChange = absl::Milliseconds(200);
/// Ticks come every 100 ms at most. A target takes longer than this to crash
/// and be back.
constexpr absl::Duration LongPause = absl::Seconds(1);

/// \returns the number at \p Index of a comma-separated list.
std::optional<std::uint64_t> numberAt(std::string_view Text,
                                      std::size_t Index) {
  for (; Index > 0; --Index) {
    std::size_t Comma = Text.find(',');
    if (Comma == std::string_view::npos)
      return std::nullopt;
    Text.remove_prefix(Comma + 1);
  }
  Text.remove_prefix(std::min(Text.find_first_not_of(' '), Text.size()));
  std::uint64_t Value = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Read.ec != std::errc())
    return std::nullopt;
  return Value;
}

} // namespace

void TargetPath::setWithdrawn(bool IsWithdrawn, absl::Time Now) {
  bool WasWithdrawn = m_State.availability() == TargetAvailability::Withdrawn;
  m_State.setWithdrawn(IsWithdrawn);
  if (WasWithdrawn && !IsWithdrawn) {
    // A withdrawn target may have gone cold: it is treated as cold, and
    // checked, before it gets its full load.
    m_ColdTime.suspect(Now);
    m_NextCheck = Now;
    applyColdTime("restored", Now);
  }
  applyStateChange(Now);
}

void TargetPath::applyColdTime(const char *Source, absl::Time Now) {
  const CatalogService *Service =
      m_Catalog ? m_Catalog->service(m_Options.m_Service) : nullptr;
  if (Service)
    m_ColdTime.expire(Service->m_ColdStartDuration, Now);
  absl::Time Until = m_ColdTime.until(Service ? Service->m_ColdStartDuration
                                              : absl::InfiniteDuration());
  double PerSecond = Service ? Service->m_ColdPerSecond : 0;
  bool IsCold = Until > Now;
  bool IsPaced = IsCold && PerSecond > 0;
  m_State.setAwaitsRate(IsCold && !Service);
  m_ColdStarts.onCold(Until, Now);
  bool WasCold = m_LoggedColdUntil > Now;
  absl::Duration Change = Until - std::max(m_LoggedColdUntil, Now);
  bool IsChanged =
      IsPaced != m_LoggedPaced || absl::AbsDuration(Change) > LoggedColdChange;
  if (WasCold != IsCold || (IsCold && IsChanged)) {
    m_LoggedColdUntil = Until;
    m_LoggedPaced = IsPaced;
    m_Log.state("The target's cold time changed.",
                {{"for", std::max(Until - Now, absl::ZeroDuration())},
                 {"source", Source},
                 {"bears", PerSecond},
                 {"paced", IsPaced},
                 {"config", m_Catalog ? m_Catalog->version() : 0},
                 {"instance", m_State.instance()},
                 {"born", m_State.startTimeMs()},
                 {"sequence", m_State.sequence()}});
  }
  if (IsPaced)
    m_Scheduler.setCold(Until, PerSecond);
  else
    m_Scheduler.setCold(absl::InfinitePast(), 1);
}

void TargetPath::notePause(absl::Time Now) {
  absl::Duration Pause = Now - std::exchange(m_LastEvent, Now);
  if (Pause < LongPause || m_State.instance().empty())
    return;
  m_ColdTime.suspect(Now);
  m_NextCheck = Now;
  applyColdTime("pause", Now);
}

void TargetPath::logColdStarts(absl::Time Now) {
  if (auto Ended = m_ColdStarts.takeEnded(Now))
    m_Log.state("The target's cold time ended.",
                {{"lasted", Ended->m_Lasted},
                 {"starts", Ended->m_Starts},
                 {"most_in_one_second", Ended->m_MostInOneSecond}});
}

TargetState::ReportResult TargetPath::onReport(const TargetReport &Report,
                                               absl::Time Now) {
  // A report that names no service of the configuration says nothing of the
  // target, whoever wrote it.
  bool IsUnknownService = m_Catalog &&
                          Report.m_Service != m_Options.m_Service &&
                          !m_Catalog->service(Report.m_Service);
  bool IsIgnored =
      Report.m_Condition != TargetCondition::Gone && IsUnknownService;
  TargetState::ReportResult Result = IsIgnored
                                         ? TargetState::ReportResult::Foreign
                                         : m_State.onReport(Report, Now);
  if (Result != TargetState::ReportResult::Accepted) {
    m_Log.notable(
        "A target report did not change the present instance.",
        {{"result", TargetState::ReportResultNames.nameOf(Result)},
         {"reported", Report.m_Instance},
         {"reported_service", Report.m_Service},
         {"condition", TargetConditionNames.nameOf(Report.m_Condition)},
         {"reported_born", Report.m_StartTimeMs},
         {"reported_sequence", Report.m_Sequence},
         {"instance", m_State.instance()},
         {"born", m_State.startTimeMs()},
         {"sequence", m_State.sequence()},
         {"needs_check", m_State.needsCheck()}});
    if (m_State.needsCheck())
      m_NextCheck = Now;
    applyStateChange(Now);
    return Result;
  }
  if (m_Options.m_Rollout && Report.m_Condition != TargetCondition::Gone)
    m_Options.m_Rollout->onReport(Report, Now);
  if (Report.m_Condition != TargetCondition::Gone) {
    if (Report.m_Slots > 0)
      m_Scheduler.setSlots(Report.m_Slots);
    m_ColdTime.onReport(Report.m_ColdRemaining, Now);
    applyColdTime("report", Now);
  }
  if (m_State.needsCheck())
    m_NextCheck = Now;
  applyStateChange(Now);
  return Result;
}

void TargetPath::onRemembered(const std::string &Instance, absl::Time Now) {
  m_State.onRemembered(Instance);
  applyStateChange(Now);
}

void TargetPath::applyRollout(absl::Time Now) {
  if (!m_Options.m_Rollout)
    return;
  applyStateChange(Now);
  double Exposure = m_Options.m_Rollout->exposure(Now);
  if (Exposure == m_ToldExposure)
    return;
  m_ToldExposure = Exposure;
  m_Options.m_Hooks.m_OnChange(Now);
}

void TargetPath::fillSample(policy::RolloutSample &Sample,
                            absl::Time Now) const {
  policy::SlotScheduler::Load Load = m_Scheduler.load();
  Sample.m_IsOpen = m_State.isOpenForRollout();
  Sample.m_IsCold = m_Scheduler.isCold(Now);
  Sample.m_Slots = Load.m_UsableSlots;
  Sample.m_Running = Load.m_Running;
  if (m_Options.m_Rollout)
    m_Options.m_Rollout->fillSample(Sample, Now);
}

void TargetPath::applyStateChange(absl::Time Now) {
  if (m_Options.m_Rollout) {
    m_Options.m_Rollout->onInstance(m_State.instance());
    m_State.setRolloutHold(m_Options.m_Rollout->hold(Now));
  }
  TargetAvailability After = m_State.availability();
  std::int64_t FormerStart =
      std::exchange(m_AppliedStartTimeMs, m_State.startTimeMs());
  bool IsReplaced = m_State.instance() != m_AppliedInstance ||
                    (FormerStart != 0 && m_AppliedStartTimeMs != 0 &&
                     FormerStart != m_AppliedStartTimeMs);
  bool IsStartKnown = FormerStart == 0 && m_AppliedStartTimeMs != 0;
  if (After == m_AppliedAvailability && !IsReplaced) {
    // Peers compare notices of the target by it.
    if (IsStartKnown)
      m_Options.m_Hooks.m_OnChange(Now);
    return;
  }
  TargetAvailability Before = std::exchange(m_AppliedAvailability, After);
  std::string Former = std::exchange(m_AppliedInstance, m_State.instance());
  if (IsReplaced && !Former.empty() && Before != TargetAvailability::Leaving)
    onTargetReplaced(Former, Now);
  if (IsReplaced) {
    forgetRateLimit(Now);
    m_Reports.forget();
  }
  m_Log.state("The target's availability or instance changed.",
              {{"from", TargetAvailabilityNames.nameOf(Before)},
               {"to", TargetAvailabilityNames.nameOf(After)},
               {"instance", m_State.instance()},
               {"born", m_State.startTimeMs()},
               {"sequence", m_State.sequence()},
               {"cold", m_Scheduler.isCold(Now)}});
  if (After != TargetAvailability::Open)
    closeQueue(Now);
  m_Options.m_Hooks.m_OnChange(Now);
  poll(Now);
}

void TargetPath::closeQueue(absl::Time Now) {
  m_ToRefuse.clear();
  m_Scheduler.refuseAll(m_ToRefuse);
  std::vector<policy::SlotScheduler::Refusal> Refused = std::move(m_ToRefuse);
  m_ToRefuse.clear();
  for (const policy::SlotScheduler::Refusal &Refusal : Refused)
    refuseWaiting(Refusal.m_Id, RefusalReason::NoTarget, ClosedRetryAfter, Now);
}

void TargetPath::onWrongInstance(const http::HttpResponse &Response,
                                 absl::Time Now) {
  const std::string *Instance = http::findHeader(
      Response.m_Headers, m_Options.m_HeaderNames.m_ReportedInstance);
  m_State.onUnexpectedInstance(Instance ? *Instance : "");
  m_NextCheck = Now;
  applyStateChange(Now);
}

void TargetPath::applyReportedLoad(const http::HttpResponse &Response,
                                   absl::Time Now) {
  const std::string *Load = http::findHeader(
      Response.m_Headers, m_Options.m_HeaderNames.m_TargetLoad);
  if (!Load)
    return;
  if (auto Slots = m_Reports.onReport(*Load, m_State.instance(), Now))
    m_Scheduler.setSlots(*Slots);
  updatePace(Now);
}

void TargetPath::updatePace(absl::Time Now) {
  m_PacePercent = m_Reports.pacePercent(Now);
  // Work that starts now runs, on the mean, half a run from now.
  m_Scheduler.setPace(m_Reports.pace(m_Scheduler.load().m_Latency / 2, Now));
}

void TargetPath::beginHealthCheck(absl::Time Now) {
  const CatalogService *Service =
      m_Catalog ? m_Catalog->service(m_Options.m_Service) : nullptr;
  if (!Service)
    return;
  m_IsChecking = true;
  ++m_Counts.m_Checks;
  m_NextCheck = Now + m_Options.m_CheckInterval;
  http::HttpRequest Request;
  Request.m_Method = "GET";
  Request.m_Path = Service->m_HealthPath;
  Request.m_Headers = {{"Host", m_Options.m_At.m_Address}};
  http::LoopClient::Call Call;
  Call.m_To = m_Options.m_At;
  Call.m_Text = http::requestText(Request);
  Call.m_Timeout = m_Options.m_CheckTimeout;
  m_Options.m_Hooks.m_Call(
      std::move(Call),
      [this, Now](const http::HttpResult &Result, absl::Time Ended) {
        m_IsChecking = false;
        onHealthCheckDone(Result, Now, Ended);
      });
}

void TargetPath::onHealthCheckDone(const http::HttpResult &Result,
                                   absl::Time Began, absl::Time Now) {
  const http::HttpResponse &Response = Result.m_Response;
  const std::string *Instance = http::findHeader(
      Response.m_Headers, m_Options.m_HeaderNames.m_ReportedInstance);
  bool IsHealthy = Result.m_Failure == Failure::None &&
                   Response.m_Status == OkStatus && Instance != nullptr;
  m_Log.state("Health check ended.",
              {{"how", http::FailureNames.nameOf(Result.m_Failure)},
               {"fault", http::AnswerFaultNames.nameOf(Result.m_Fault)},
               {"status", Response.m_Status},
               {"instance", Instance ? *Instance : ""}});
  m_State.onHealthCheck(Instance ? *Instance : "", IsHealthy, Began);
  if (Result.m_Failure == Failure::None)
    m_State.onCheckAnswered(Instance ? *Instance : "", Began);
  else if (Result.m_Failure == Failure::NotSent)
    m_State.onCheckRefused(Now);
  if (Result.m_Failure == Failure::None && Instance)
    applyNamedLeave(Response, *Instance, Now);
  onCheckOfBrokenRuns(Result.m_Failure, Instance, Now);
  if (IsHealthy)
    applyReportedLoad(Response, Now);
  if (Result.m_Failure == Failure::None && Instance &&
      *Instance == m_State.instance())
    applyCheckedColdTime(Response, IsHealthy, Began, Now);
  applyStateChange(Now);
  if (Result.m_Failure == Failure::None)
    m_Unanswered.clear();
}

void TargetPath::applyCheckedColdTime(const http::HttpResponse &Response,
                                      bool IsHealthy, absl::Time Began,
                                      absl::Time Now) {
  const std::string *Text = http::findHeader(
      Response.m_Headers, m_Options.m_HeaderNames.m_ColdRemaining);
  auto RemainingMs = Text ? numberAt(*Text, 0) : std::nullopt;
  if (!IsHealthy && !RemainingMs)
    return;
  std::optional<absl::Duration> Remaining;
  if (RemainingMs)
    Remaining = absl::Milliseconds(*RemainingMs);
  m_ColdTime.onHealthCheck(Remaining, Began, Now);
  applyColdTime("check", Now);
}

void TargetPath::stop(absl::Time Now) {
  m_State.setStopping();
  applyStateChange(Now);
}

} // namespace knapweedloft::mesh
