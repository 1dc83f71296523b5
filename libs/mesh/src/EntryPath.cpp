#include "mesh/EntryPath.h"

#include "app/Fingerprint.h"
#include "app/WireConvert.h"
#include "http/MessageText.h"
#include "policy/OwnerRanking.h"

#include "absl/container/flat_hash_set.h"
#include "absl/random/distributions.h"
#include "fmt/format.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using model::RefusalReason;
using policy::RequestStanding;

/// Retry-after hint of a request rejected by entry admission, whose admitted
/// share changes within a second.
constexpr absl::Duration AdmissionRetryAfter = absl::Milliseconds(400);
/// Load score of a tier from which the next, more remote one is considered:
/// traffic between data centers costs and gains nothing while the near target
/// has a free slot.
constexpr double SpilloverLoadScore = 1.0;
/// A remote target is worth it only if the near one is full and its load score
/// is higher by a third of its slots.
constexpr double TierPenalty = 0.3;

/// Calls of targets rank before all new work: refusing one wastes the work that
/// was done upstream of it.
constexpr std::uint32_t CallRank = 0;
constexpr std::uint32_t RanksPerPriority = 16;

std::uint32_t rankOf(const CatalogRoute &Route,
                     const CatalogCustomer *Customer) {
  std::uint32_t Priority = Route.m_Priority;
  if (Customer && Customer->m_Priority)
    Priority = *Customer->m_Priority;
  return 1 + Priority * RanksPerPriority +
         std::min(Route.m_Priority, RanksPerPriority - 1);
}

std::optional<std::int64_t> wholeNumber(const std::string *Text) {
  if (Text == nullptr)
    return std::nullopt;
  std::int64_t Value = 0;
  auto Read = std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  if (Read.ec != std::errc() || Read.ptr != Text->data() + Text->size())
    return std::nullopt;
  return Value;
}

} // namespace

EntryPath::EntryPath(Options Settings, ComponentLog Log)
    : m_Options(std::move(Settings)), m_Log(Log), m_Rates(m_Options.m_Rates),
      m_Random(m_Options.m_Seed != 0 ? m_Options.m_Seed
                                     : std::random_device()()),
      m_Admission(
          {m_Options.m_PriorityAdmission,
           [this](const std::string &Service) { return targetsOf(Service); }}),
      m_Leaving(Log) {}

void EntryPath::setCatalog(CatalogPtr Catalog, absl::Time Now) {
  absl::flat_hash_set<std::string_view> Limited;
  for (const CatalogCustomer &Customer : Catalog->catalog().m_Customers)
    if (Customer.m_PerSecond > 0)
      Limited.insert(Customer.m_Name);
  if (m_Catalog)
    for (const CatalogCustomer &Former : m_Catalog->catalog().m_Customers)
      if (!Limited.contains(Former.m_Name))
        m_Rates.clearRate(Former.m_Name);
  for (const CatalogCustomer &Customer : Catalog->catalog().m_Customers)
    if (Customer.m_PerSecond > 0)
      m_Rates.setRate(Customer.m_Name,
                      {.m_PerSecond = Customer.m_PerSecond,
                       .m_Burst = std::max(1.0, Customer.m_Burst)},
                      Now);
  m_Admission.setCatalog(Catalog);
  m_Catalog = std::move(Catalog);
  m_RoundRobins.clear();
}

void EntryPath::onRequest(http::ExchangeId Id, http::ParsedMessage Message,
                          const std::string &From, absl::Time Now) {
  ++m_Counts.m_Requests;
  Pending Request;
  Request.m_Exchange = Id;
  Request.m_Message = std::move(Message);
  Request.m_Catalog = m_Catalog;
  Request.m_Received = Now - Request.m_Message.m_Waited;
  Refusal Refused = identify(Request, From, Now);
  if (Refused.m_Reason != RefusalReason::None) {
    refuse(Id, Request, Refused, Now);
    return;
  }
  Request.m_Service = chooseService(*Request.m_Route);
  if (!Request.m_IsCall && !isAdmitted(Request, Now)) {
    if (Request.m_HasToken)
      m_Rates.putBack(Request.m_Customer->m_Name, Now);
    refuse(Id, Request, {RefusalReason::Overloaded, AdmissionRetryAfter}, Now);
    return;
  }
  ServiceState &State = serviceOf(Request.m_Service, Now);
  State.m_RetryBudget.deposit();
  Request.m_Bytes =
      Request.m_Message.m_Body.size() + Request.m_Message.m_Path.size();
  if (Request.m_IsCall) {
    if (m_Options.m_Hooks.m_HasCrossedUntil)
      Request.m_HasCrossed =
          m_Options.m_Hooks.m_HasCrossedUntil(Request.m_Deadline);
    ++m_Counts.m_Calls;
    std::string Running =
        m_Options.m_Hooks.m_RouteRunningUntil(Request.m_Deadline);
    if (!Running.empty())
      m_CallObserver.onCall(Running, Request.m_Route->m_Name);
  }
  PendingId NewId = ++m_LastId;
  absl::Time CompleteBy = Request.m_CompleteBy;
  m_ByExchange.emplace(Id, NewId);
  Pending &Stored = m_Pending.emplace(NewId, std::move(Request)).first->second;
  setTimeout(NewId, Stored, CompleteBy + m_Options.m_AnswerGrace);
  dispatch(NewId, Now);
}

EntryPath::Refusal
EntryPath::identify(Pending &Request, const std::string &From, absl::Time Now) {
  const http::HeaderList &Headers = Request.m_Message.m_Headers;
  if (const std::string *CallId =
          http::findHeader(Headers, m_Options.m_HeaderNames.m_CallId))
    Request.m_CallId = *CallId;
  if (!m_Catalog)
    return {RefusalReason::StateStale};
  const std::string *Host = http::findHeader(Headers, "Host");
  if (Host)
    Request.m_Route = m_Catalog->findRoute(*Host, Request.m_Message.m_Path);
  if (!Request.m_Route)
    return {RefusalReason::UnknownRoute};
  Refusal Refused = identifyCustomer(Request);
  if (Refused.m_Reason != RefusalReason::None)
    return Refused;
  Request.m_IsCall = !Request.m_Customer && From == m_Options.m_SelfAddress;
  Request.m_Rank = Request.m_IsCall
                       ? CallRank
                       : rankOf(*Request.m_Route, Request.m_Customer);
  setTimes(Request);
  if (isTooLate(Request, Now))
    return {RefusalReason::Stopping};
  if (Request.m_CallId.empty())
    return {RefusalReason::BadRequest};
  if (Now >= Request.m_CompleteBy)
    return {RefusalReason::DeadlinePassed};
  Request.m_Fingerprint = app::fingerprintOf(
      Request.m_Customer ? Request.m_Customer->m_Name : std::string(),
      Request.m_Message.m_Method,
      Request.m_Route->m_Host + Request.m_Message.m_Path,
      Request.m_Message.m_Body);
  if (judge(Request, Now).m_Standing == RequestStanding::Quarantined)
    return quarantineRefusal(Request, Now);
  if (Request.m_Customer) {
    if (!m_Rates.tryTake(Request.m_Customer->m_Name, Now))
      return {RefusalReason::OverRate,
              m_Rates.waitFor(Request.m_Customer->m_Name, Now)};
    Request.m_HasToken = true;
  }
  return {};
}

EntryPath::Refusal EntryPath::identifyCustomer(Pending &Request) const {
  if (Request.m_Route->m_IsOpen || !m_Catalog->hasCustomers())
    return {};
  const std::string *Credential = http::findHeader(
      Request.m_Message.m_Headers, m_Options.m_HeaderNames.m_Key);
  const std::string &Scheme = m_Options.m_HeaderNames.m_KeyScheme;
  if (!Credential || !Credential->starts_with(Scheme))
    return {RefusalReason::BadKey};
  Request.m_Customer = m_Catalog->customerByKey(
      std::string_view(*Credential).substr(Scheme.size()));
  if (!Request.m_Customer)
    return {RefusalReason::BadKey};
  return {};
}

void EntryPath::setTimes(Pending &Request) const {
  absl::Duration Timeout = Request.m_Route->m_Timeout;
  auto Given = wholeNumber(http::findHeader(
      Request.m_Message.m_Headers, m_Options.m_HeaderNames.m_RemainingTime));
  Request.m_Deadline =
      Request.m_Received + (Given ? absl::Milliseconds(*Given) : Timeout);
  Request.m_CompleteBy =
      std::min(Request.m_Deadline, Request.m_Received + Timeout);
}

bool EntryPath::isTooLate(const Pending &Request, absl::Time Now) const {
  if (Now < m_IntakeEnd)
    return false;
  // Refusing a call wastes what was done for the request above it; cutting it
  // off wastes that too, and the call may have run.
  return !Request.m_IsCall ||
         Request.m_CompleteBy + m_Options.m_AnswerGrace > m_StopEnd;
}

std::string EntryPath::chooseService(const CatalogRoute &Route) {
  if (Route.m_WeightedServices.size() == 1)
    return Route.m_WeightedServices.front().m_Service;
  auto Found = m_RoundRobins.find(Route.m_Name);
  if (Found == m_RoundRobins.end()) {
    std::vector<double> Weights;
    for (const WeightedService &Destination : Route.m_WeightedServices)
      Weights.push_back(Destination.m_Weight);
    policy::WeightedRoundRobin RoundRobin(Weights,
                                          absl::Uniform(m_Random, 0.0, 0.5));
    Found = m_RoundRobins.emplace(Route.m_Name, std::move(RoundRobin)).first;
  }
  return Route.m_WeightedServices[Found->second.next()].m_Service;
}

policy::TargetChooser::Options EntryPath::chooserOptions() const {
  policy::TargetChooser::Options Options{
      .m_Region = m_Options.m_Self.m_Region,
      .m_DataCenter = m_Options.m_Self.m_DataCenter,
      .m_Seed = m_Options.m_Self.m_Incarnation,
      .m_SpilloverLoadScore = SpilloverLoadScore,
      .m_TierPenalty = TierPenalty,
      .m_UseRelativeFailures = true};
  if (m_Options.m_Leave == policy::LeaveRule::Auto)
    Options.m_Spill = m_Options.m_Spill;
  return Options;
}

EntryPath::ServiceState &EntryPath::serviceOf(const std::string &Name,
                                              absl::Time Now) {
  auto Found = m_Services.find(Name);
  if (Found == m_Services.end()) {
    ServiceState Added{.m_Chooser = VersionChoice(chooserOptions()),
                       .m_RetryBudget =
                           policy::RetryBudget(m_Options.m_RetryBudget)};
    Found = m_Services.emplace(Name, std::move(Added)).first;
  }
  refreshTargets(Name, Found->second, Now);
  return Found->second;
}

std::vector<PeerTarget> EntryPath::targetsOf(const std::string &Service) const {
  std::vector<PeerTarget> Targets = m_Options.m_Hooks.m_TargetsOf(Service);
  for (PeerTarget &Target : Targets)
    if (m_Notices.isLeaving(Target))
      Target.m_IsOpen = false;
  return Targets;
}

void EntryPath::refreshTargets(const std::string &Name, ServiceState &State,
                               absl::Time Now) {
  if (State.m_TargetsVersion == m_TargetsVersion)
    return;
  State.m_TargetsVersion = m_TargetsVersion;
  State.m_Targets.clear();
  std::vector<PeerTarget> Targets = targetsOf(Name);
  State.m_Chooser.setTargets(Targets, Now);
  for (PeerTarget &Target : Targets)
    State.m_Targets.emplace(Target.m_Member.m_Incarnation, std::move(Target));
}

void EntryPath::onLoad(const std::string &Name, model::Incarnation Daemon,
                       const wire::Load &Load, absl::Time Now,
                       std::uint16_t PacePercent) {
  m_Admission.onLoad(Name, Daemon, Load.shed_level(), Load.limit(), Now);
  auto Found = m_Services.find(Name);
  if (Found == m_Services.end())
    return;
  if (auto Target = Found->second.m_Chooser.find(Daemon))
    Found->second.m_Chooser.onLoad(*Target, app::fromWire(Load, PacePercent),
                                   Now);
}

bool EntryPath::isAdmitted(const Pending &Request, absl::Time Now) {
  return m_Admission.tryAdmit(
      {.m_Route = Request.m_Route,
       .m_Service = &Request.m_Service,
       .m_Rank = Request.m_Rank,
       .m_TimeBudget = Request.m_Deadline - Request.m_Received},
      Now, m_Random);
}

void EntryPath::onTargetsChanged() {
  ++m_TargetsVersion;
  m_Admission.onTargetsChanged();
}

policy::RequestJudgement EntryPath::judge(const Pending &Request,
                                          absl::Time Now) const {
  if (!m_Options.m_Hooks.m_Judge || Request.m_Fingerprint == 0)
    return {};
  return m_Options.m_Hooks.m_Judge(Request.m_Fingerprint, Now);
}

void EntryPath::dispatchToOneTarget(PendingId Id, absl::Time Now) {
  Pending &Request = m_Pending.at(Id);
  ServiceState &State = serviceOf(Request.m_Service, Now);
  std::vector<std::string> Names;
  std::vector<model::Incarnation> Daemons;
  for (const auto &[Daemon, Target] : State.m_Targets) {
    if (!Target.m_IsOpen || Target.m_Exposure < 1)
      continue;
    Names.push_back(Target.m_Member.m_Name);
    Daemons.push_back(Daemon);
  }
  auto Owner = policy::rankOwners(fmt::format("{:016x}", Request.m_Fingerprint),
                                  Names, 1);
  if (!Owner.empty())
    if (auto Target = State.m_Chooser.find(Daemons[Owner.front()]))
      if (forward(Id, Request, State, *Target, Now))
        return;
  end(Id,
      {Request.m_MayHaveRun ? RefusalReason::OutcomeUnknown
                            : RefusalReason::NoTarget},
      Now);
}

void EntryPath::dispatch(PendingId Id, absl::Time Now) {
  Pending &Request = m_Pending.at(Id);
  RequestStanding Standing = judge(Request, Now).m_Standing;
  if (policy::isForOneTarget(Standing))
    return dispatchToOneTarget(Id, Now);
  if (Standing == RequestStanding::Quarantined)
    return endQuarantined(Id, Now);
  ServiceState &State = serviceOf(Request.m_Service, Now);
  while (true) {
    auto Target = State.m_Chooser.choose(
        Request.m_Excluded, m_Random, Now,
        {.m_Bytes = Request.m_Bytes, .m_HasCrossed = Request.m_HasCrossed});
    if (!Target)
      break;
    if (forward(Id, Request, State, *Target, Now))
      return;
    Request.m_Excluded.push_back(*Target);
  }
  RefusalReason Reason = Request.m_Refusals > 0 ? RefusalReason::Overloaded
                                                : RefusalReason::NoTarget;
  end(Id, {Request.m_MayHaveRun ? RefusalReason::OutcomeUnknown : Reason}, Now);
}

bool EntryPath::forward(PendingId Id, Pending &Request, ServiceState &State,
                        policy::TargetHandle Target, absl::Time Now) {
  model::Incarnation Daemon = State.m_Chooser.info(Target).m_Incarnation;
  auto Found = State.m_Targets.find(Daemon);
  if (Found == State.m_Targets.end())
    return false;
  std::uint64_t Sequence = m_LastSequence + 1;
  wire::ForwardT Message = makeForward(Request, Found->second, Now);
  Message.id = {m_Options.m_Self.m_Incarnation, Sequence};
  if (!m_Options.m_Hooks.m_Forward(Found->second.m_Member, std::move(Message)))
    return false;
  m_LastSequence = Sequence;
  Request.m_Sequence = Sequence;
  Request.m_Target = Target;
  Request.m_To = Found->second.m_Member;
  Request.m_IsSent = true;
  Request.m_Sent = Now;
  m_BySequence.emplace(Sequence, Id);
  State.m_Chooser.onSent(Target, Now);
  m_Leaving.onSent(Request.m_Service, isLeaving(Request.m_To));
  return true;
}

std::string EntryPath::headerLinesFor(const Pending &Request) const {
  const HeaderNames &Names = m_Options.m_HeaderNames;
  std::string Lines;
  auto Append = [&Lines](std::string_view Name, std::string_view Value) {
    fmt::format_to(std::back_inserter(Lines), "{}: {}\r\n", Name, Value);
  };
  for (const http::HeaderField &Field : Request.m_Message.m_Headers) {
    bool IsOwn = false;
    for (const std::string *Set :
         {&Names.m_Key, &Names.m_Customer, &Names.m_CallerService,
          &Names.m_RemainingTime, &Names.m_Instance})
      IsOwn = IsOwn || http::isSameName(Field.m_Name, *Set);
    if (!IsOwn && !http::isHopByHop(Field.m_Name))
      Append(Field.m_Name, Field.m_Value);
  }
  Append(Names.m_CallerService, m_Options.m_Self.m_Service);
  if (Request.m_Customer)
    Append(Names.m_Customer, Request.m_Customer->m_Name);
  return Lines;
}

wire::ForwardT EntryPath::makeForward(const Pending &Request,
                                      const PeerTarget &To,
                                      absl::Time Now) const {
  wire::ForwardT Message;
  Message.to_incarnation = To.m_Member.m_Incarnation;
  Message.method = Request.m_Message.m_Method;
  Message.path = Request.m_Message.m_Path;
  Message.lines = headerLinesFor(Request);
  Message.body = app::toBytes(Request.m_Message.m_Body);
  Message.route = Request.m_Route->m_Name;
  Message.service = Request.m_Service;
  if (Request.m_Customer)
    Message.customer = Request.m_Customer->m_Name;
  Message.is_idempotent = Request.m_Route->m_IsIdempotent;
  Message.remaining_us = static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, absl::ToInt64Microseconds(Request.m_CompleteBy - Now)));
  absl::Time Objective =
      Request.m_IsCall
          ? Request.m_Deadline
          : Request.m_Received + Request.m_Route->m_LatencyObjective;
  Message.aim_us = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, absl::ToInt64Microseconds(Objective - Now)));
  Message.call_id = Request.m_CallId;
  Message.rank = Request.m_Rank;
  Message.instance = To.m_Instance;
  Message.refusals = static_cast<std::uint16_t>(Request.m_Refusals);
  Message.fingerprint = Request.m_Fingerprint;
  Message.notice = m_Notices.messageFor(To, Now);
  Message.has_crossed = m_Options.m_Leave == policy::LeaveRule::Auto &&
                        (Request.m_HasCrossed || isLeaving(To.m_Member));
  return Message;
}

void EntryPath::onConnectionClosed(http::ExchangeId Exchange,
                                   http::CallerConnectionEnd Why,
                                   absl::Time Now) {
  auto Found = m_ByExchange.find(Exchange);
  if (Found == m_ByExchange.end())
    return;
  PendingId Id = Found->second;
  Pending &Request = m_Pending.at(Id);
  ++m_Counts.m_CallerDisconnects;
  if (Request.m_IsSent) {
    wire::CancelT Cancel;
    Cancel.id = {m_Options.m_Self.m_Incarnation, Request.m_Sequence};
    m_Options.m_Hooks.m_Cancel(Request.m_To, Cancel);
    serviceOf(Request.m_Service, Now).m_Chooser.onCancelled(Request.m_Target);
  }
  if (Why == http::CallerConnectionEnd::CallerLeft)
    m_Log.routine("The caller disconnected.",
                  {{"id", Request.m_CallId},
                   {"sent", Request.m_IsSent},
                   {"held", Now - Request.m_Received}});
  else
    m_Log.notable("The connection was closed before the answer.",
                  {{"id", Request.m_CallId},
                   {"why", http::CallerConnectionEndNames.nameOf(Why)},
                   {"sent", Request.m_IsSent},
                   {"held", Now - Request.m_Received}});
  forget(Id);
}

void EntryPath::onDaemonLost(model::Incarnation Daemon, absl::Time Now) {
  std::vector<PendingId> Lost;
  for (const auto &[Id, Request] : m_Pending)
    if (Request.m_IsSent && Request.m_To.m_Incarnation == Daemon)
      Lost.push_back(Id);
  std::sort(Lost.begin(), Lost.end());
  for (PendingId Id : Lost) {
    Pending &Request = m_Pending.at(Id);
    m_BySequence.erase(Request.m_Sequence);
    Request.m_IsSent = false;
    Request.m_MayHaveRun = true;
    ++Request.m_Arrivals;
    serviceOf(Request.m_Service, Now).m_Chooser.onLost(Request.m_Target, Now);
    onTargetFailure(Id, nullptr, Now);
  }
}

void EntryPath::setTimeout(PendingId Id, Pending &Request, absl::Time When) {
  Request.m_TimeoutAt = When;
  m_Timeouts.emplace(When, Id);
}

void EntryPath::tick(absl::Time Now) {
  for (const auto &[Name, State] : m_Services)
    if (auto Decided = State.m_Chooser.leaving())
      m_Leaving.onDecision(Name, *Decided);
  while (!m_Timeouts.empty() && m_Timeouts.begin()->first <= Now)
    onTimeout(m_Timeouts.begin()->second, Now);
}

void EntryPath::onTimeout(PendingId Id, absl::Time Now) {
  Pending &Request = m_Pending.at(Id);
  if (Request.m_IsSent) {
    Request.m_MayHaveRun = true;
    wire::CancelT Cancel;
    Cancel.id = {m_Options.m_Self.m_Incarnation, Request.m_Sequence};
    m_Options.m_Hooks.m_Cancel(Request.m_To, Cancel);
    serviceOf(Request.m_Service, Now).m_Chooser.onLost(Request.m_Target, Now);
  }
  end(Id, {RefusalReason::DeadlinePassed}, Now);
}

void EntryPath::forget(PendingId Id) {
  auto Found = m_Pending.find(Id);
  Pending &Request = Found->second;
  m_ByExchange.erase(Request.m_Exchange);
  if (Request.m_IsSent)
    m_BySequence.erase(Request.m_Sequence);
  m_Timeouts.erase({Request.m_TimeoutAt, Id});
  m_Pending.erase(Found);
}

} // namespace knapweedloft::mesh
