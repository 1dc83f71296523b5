#include "mesh/TargetRollout.h"

#include "http/MessageText.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using http::Failure;

constexpr int FirstFailureStatus = 300;
constexpr int FirstServerError = 500;
constexpr int MisdirectedStatus = 421;

} // namespace

TargetRollout::TargetRollout(Options Settings)
    : m_Options(std::move(Settings)), m_Gate(m_Options.m_Gate) {}

void TargetRollout::setOrder(const RolloutOrderId &Order, absl::Time Now) {
  if (m_Order && m_Order->isSameAs(Order)) {
    m_Order = Order;
    return;
  }
  m_Order = Order;
  m_News.reset();
  m_Gate.clearOrder();
  applyVersion(Now);
}

void TargetRollout::applyVersion(absl::Time Now) {
  if (!m_Order || !m_HasReport)
    return;
  bool IsNew = m_Version == m_Order->m_TargetVersion;
  if (m_Gate.hasOrder() && m_Gate.isNewVersion() == IsNew)
    return;
  m_Gate.setOrder(IsNew);
  m_Jobs.clear();
  m_Routes.clear();
  applyNews(Now);
}

void TargetRollout::applyNews(absl::Time Now) {
  if (!m_News || !m_Gate.hasOrder())
    return;
  policy::RolloutGate::Command Command;
  Command.m_Epoch = m_News->epoch;
  Command.m_Sequence = m_News->sequence;
  Command.m_Phase = static_cast<policy::RolloutPhase>(m_News->phase);
  Command.m_Share = m_News->exposure;
  Command.m_Age = Now - m_NewsSent;
  for (const wire::Allowance &One : m_News->allowances)
    if (One.daemon() == m_Options.m_Self)
      Command.m_Allowance = One.requests();
  m_Gate.onCommand(Command, Now);
}

void TargetRollout::onNews(const wire::RolloutNewsT &News, absl::Time Now) {
  m_News = News;
  m_NewsSent = Now - absl::Microseconds(News.age_us);
  applyNews(Now);
}

void TargetRollout::onReport(const TargetReport &Report, absl::Time Now) {
  m_Instance = Report.m_Instance;
  m_Version = Report.m_Version;
  m_HasReport = true;
  applyVersion(Now);
}

void TargetRollout::onInstance(const std::string &Instance) {
  if (Instance == m_Instance)
    return;
  m_Instance = Instance;
  m_Version.clear();
  m_HasReport = false;
}

RolloutHold TargetRollout::hold(absl::Time Now) const {
  bool HasNoVersion = m_HasReport && m_Version.empty();
  if (!m_HasRecords)
    return HasNoVersion ? RolloutHold::None : RolloutHold::Held;
  if (!m_Order)
    return RolloutHold::None;
  if (!m_HasReport)
    return RolloutHold::Held;
  if (m_Gate.isOpen(Now))
    return RolloutHold::None;
  return m_Gate.isNewVersion() ? RolloutHold::Held : RolloutHold::Superseded;
}

double TargetRollout::exposure(absl::Time Now) const {
  // The former version gets what the new one leaves.
  return m_Gate.isNewVersion() ? m_Gate.exposure(Now) : 1;
}

bool TargetRollout::tryAccept(JobId Id, absl::Time Now) {
  if (!m_Gate.hasOrder())
    return true;
  if (!m_Gate.tryAccept(Now)) {
    ++m_Refused;
    return false;
  }
  m_Jobs.emplace(Id, Job());
  return true;
}

void TargetRollout::putBack(JobId Id) {
  if (m_Jobs.erase(Id) > 0)
    m_Gate.putBack();
}

void TargetRollout::onCancelled(JobId Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  bool IsStarted = Found->second.m_Started != absl::InfiniteFuture();
  m_Jobs.erase(Found);
  if (!IsStarted)
    m_Gate.putBack();
}

void TargetRollout::onStarted(JobId Id, const std::string &Route,
                              absl::Time Now) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  Found->second = {.m_Route = Route, .m_Started = Now};
}

TargetRollout::RunVerdict
TargetRollout::verdictOf(const http::HttpResult &Result) const {
  if (Result.m_Failure == Failure::NotSent)
    return RunVerdict::NotSent;
  if (Result.m_Failure != Failure::None)
    return RunVerdict::Failure;
  const http::HttpResponse &Response = Result.m_Response;
  const HeaderNames &Names = m_Options.m_HeaderNames;
  if (Response.m_Status == MisdirectedStatus ||
      http::findHeader(Response.m_Headers, Names.m_NotRun))
    return RunVerdict::NotRun;
  if (Response.m_Status >= FirstServerError)
    return RunVerdict::Failure;
  bool IsProven =
      http::findHeader(Response.m_Headers, Names.m_OriginProof) != nullptr;
  bool IsWhole = Response.m_Status >= FirstFailureStatus || IsProven;
  return IsWhole ? RunVerdict::Success : RunVerdict::Failure;
}

void TargetRollout::onResult(JobId Id, const http::HttpResult &Result,
                             absl::Time Now) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  RunVerdict Verdict = verdictOf(Result);
  if (Verdict == RunVerdict::NotSent) {
    putBack(Id);
    return;
  }
  Job Done = std::move(Found->second);
  m_Jobs.erase(Found);
  if (Verdict == RunVerdict::NotRun)
    return;
  RouteTotals &Route = m_Routes[Done.m_Route];
  ++Route.m_Counts.m_Answers;
  if (Verdict == RunVerdict::Failure) {
    ++Route.m_Counts.m_Failures;
    return;
  }
  absl::Duration Took = Now - Done.m_Started;
  ++Route.m_Counts.m_Latencies[policy::RouteCounts::bucketOf(Took)];
  Route.m_Sum += Took;
}

bool TargetRollout::isOverdue(const Job &Running, absl::Time Now) const {
  absl::Duration Limit = m_Options.m_OverdueAfter;
  auto Known = m_Routes.find(Running.m_Route);
  if (Known != m_Routes.end()) {
    const policy::RouteCounts &Counts = Known->second.m_Counts;
    std::uint64_t Successes = Counts.m_Answers - Counts.m_Failures;
    if (Successes >= m_Options.m_MinAnswers)
      Limit = Known->second.m_Sum / static_cast<double>(Successes) *
              m_Options.m_OverdueFactor;
  }
  return Now - Running.m_Started > Limit;
}

void TargetRollout::fillSample(policy::RolloutSample &Sample,
                               absl::Time Now) const {
  Sample.m_Instance = m_Instance;
  Sample.m_Version = m_Version;
  Sample.m_Arrivals = m_Gate.accepted();
  for (const auto &[Id, Running] : m_Jobs)
    if (isOverdue(Running, Now))
      ++Sample.m_Overdue;
  for (const auto &[Name, Route] : m_Routes) {
    Sample.m_Routes.push_back(Route.m_Counts);
    Sample.m_Routes.back().m_Route = Name;
  }
}

} // namespace knapweedloft::mesh
