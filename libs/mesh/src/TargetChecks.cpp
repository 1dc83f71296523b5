// How the target stands: its reports, health checks, cold times and withdrawal.
#include "mesh/TargetPath.h"

#include "http/MessageText.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using http::Failure;
using model::RefusalReason;

constexpr int Ok = 200;

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
  bool WasWithdrawn = m_State.gate() == TargetGate::Withdrawn;
  m_State.setWithdrawn(IsWithdrawn);
  if (WasWithdrawn && !IsWithdrawn) {
    // A withdrawn target may have gone cold; it is asked before it is filled.
    m_KnowsCold = false;
    m_NextCheck = Now;
    if (const CatalogService *Own =
            m_Catalog ? m_Catalog->service(m_Options.m_Service) : nullptr)
      setCold(Own->m_ColdFor, Now);
  }
  noteChange(Now);
}

void TargetPath::setCold(absl::Duration For, absl::Time Now) {
  const CatalogService *Own =
      m_Catalog ? m_Catalog->service(m_Options.m_Service) : nullptr;
  if (For <= absl::ZeroDuration() || !Own || Own->m_ColdPerSecond <= 0) {
    m_Gate.setCold(absl::InfinitePast(), 1);
    return;
  }
  if (!m_Gate.isCold(Now))
    m_Log.state("The target is cold.",
                {{"for", For}, {"bears", Own->m_ColdPerSecond}});
  m_Gate.setCold(Now + For, Own->m_ColdPerSecond);
}

TargetState::Reception TargetPath::onReport(const TargetReport &Report,
                                            absl::Time Now) {
  TargetState::Reception How = m_State.onReport(Report, Now);
  if (How != TargetState::Reception::Taken)
    return How;
  if (Report.m_Condition != TargetCondition::Gone) {
    if (Report.m_Slots > 0)
      m_Gate.setSlots(Report.m_Slots);
    m_KnowsCold = true;
    setCold(Report.m_ColdLeft, Now);
  }
  noteChange(Now);
  return How;
}

void TargetPath::noteChange(absl::Time Now) {
  TargetGate After = m_State.gate();
  if (After == m_NotedGate && m_State.instance() == m_NotedInstance)
    return;
  TargetGate Before = std::exchange(m_NotedGate, After);
  m_NotedInstance = m_State.instance();
  m_Log.state("The target's state changed.",
              {{"from", TargetGateNames.nameOf(Before)},
               {"to", TargetGateNames.nameOf(After)},
               {"instance", m_State.instance()},
               {"born", m_State.bornMs()},
               {"sequence", m_State.sequence()},
               {"cold", m_Gate.isCold(Now)}});
  if (After != TargetGate::Open)
    closeQueue(Now);
  m_Options.m_Hooks.m_OnChange(Now);
  poll(Now);
}

void TargetPath::closeQueue(absl::Time Now) {
  m_ToRefuse.clear();
  m_Gate.refuseAll(m_ToRefuse);
  std::vector<policy::WorkGate::Refusal> Refused = std::move(m_ToRefuse);
  m_ToRefuse.clear();
  for (const policy::WorkGate::Refusal &One : Refused)
    refuseWaiting(One.m_Id, RefusalReason::NoTarget, ClosedComeBack, Now);
}

void TargetPath::onWrongInstance(const http::HttpResponse &Response,
                                 absl::Time Now) {
  const std::string *Told =
      http::findHeader(Response.m_Headers, m_Options.m_Dialect.m_InstanceTold);
  m_State.onOtherInstance(Told ? *Told : "");
  m_NextCheck = Now;
  noteChange(Now);
}

void TargetPath::readLoad(const http::HttpResponse &Response) {
  const std::string *Told =
      http::findHeader(Response.m_Headers, m_Options.m_Dialect.m_TargetLoad);
  if (!Told)
    return;
  constexpr std::size_t SlotsIndex = 2;
  auto Slots = numberAt(*Told, SlotsIndex);
  if (Slots && *Slots > 0)
    m_Gate.setSlots(static_cast<std::uint32_t>(*Slots));
}

void TargetPath::beginCheck(absl::Time Now) {
  const CatalogService *Own =
      m_Catalog ? m_Catalog->service(m_Options.m_Service) : nullptr;
  if (!Own)
    return;
  m_IsChecking = true;
  ++m_Counts.m_Checks;
  m_NextCheck = Now + m_Options.m_CheckInterval;
  http::HttpRequest Request;
  Request.m_Method = "GET";
  Request.m_Path = Own->m_HealthPath;
  Request.m_Headers = {{"Host", m_Options.m_At.m_Address}};
  http::LoopClient::Call Call;
  Call.m_To = m_Options.m_At;
  Call.m_Text = http::requestText(Request);
  Call.m_Timeout = m_Options.m_CheckTimeout;
  m_Options.m_Hooks.m_Call(
      std::move(Call),
      [this](const http::HttpResult &Result, absl::Time Ended) {
        m_IsChecking = false;
        onChecked(Result, Ended);
      });
}

void TargetPath::onChecked(const http::HttpResult &Result, absl::Time Now) {
  const http::HttpResponse &Response = Result.m_Response;
  const std::string *Told =
      http::findHeader(Response.m_Headers, m_Options.m_Dialect.m_InstanceTold);
  bool IsHealthy = Result.m_Failure == Failure::None &&
                   Response.m_Status == Ok && Told != nullptr;
  m_Log.state("A health check ended.",
              {{"how", http::FailureNames.nameOf(Result.m_Failure)},
               {"status", Response.m_Status},
               {"instance", Told ? *Told : ""}});
  m_State.onCheck(Told ? *Told : "", IsHealthy, Now);
  if (IsHealthy) {
    readLoad(Response);
    const std::string *ColdLeft =
        http::findHeader(Response.m_Headers, m_Options.m_Dialect.m_ColdLeft);
    auto ColdMs = ColdLeft ? numberAt(*ColdLeft, 0) : std::nullopt;
    m_KnowsCold = true;
    setCold(absl::Milliseconds(ColdMs.value_or(0)), Now);
  }
  noteChange(Now);
}

void TargetPath::stop(absl::Time Now) {
  m_State.setStopping();
  noteChange(Now);
}

} // namespace knapweedloft::mesh
