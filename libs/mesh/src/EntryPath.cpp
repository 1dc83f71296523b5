#include "mesh/EntryPath.h"

#include "app/WireConvert.h"
#include "http/MessageText.h"

#include "absl/random/distributions.h"
#include "fmt/format.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace knapweedloft::mesh {
namespace {

using model::RefusalReason;

/// When there may be room after a refusal at the door, whose part changes
/// within a second.
constexpr absl::Duration DoorComeBack = absl::Milliseconds(400);
/// Bytes between data centres cost and gain nothing while the near target has
/// a slot free: full, and by a third of its slots behind, it is worth leaving.
constexpr double SpillPressure = 1.0;
constexpr double TierPenalty = 0.3;

/// Calls of targets go before all new work: turning one away wastes what was
/// done above it.
constexpr std::uint32_t CallRank = 0;
constexpr std::uint32_t RanksAPriority = 16;

std::uint32_t rankOf(const CatalogRoute &Route,
                     const CatalogCustomer *Customer) {
  std::uint32_t Priority = Route.m_Priority;
  if (Customer && Customer->m_Priority)
    Priority = *Customer->m_Priority;
  return 1 + Priority * RanksAPriority +
         std::min(Route.m_Priority, RanksAPriority - 1);
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

EntryPath::EntryPath(Options Settings, Reporter Log)
    : m_Options(std::move(Settings)), m_Log(Log), m_Rates(m_Options.m_Rates),
      m_Door({m_Options.m_Door, m_Options.m_Hooks.m_TargetsOf}) {}

void EntryPath::setCatalog(CatalogPtr Catalog, absl::Time Now) {
  if (m_Catalog)
    for (const CatalogCustomer &Former : m_Catalog->catalog().m_Customers)
      if (std::none_of(
              Catalog->catalog().m_Customers.begin(),
              Catalog->catalog().m_Customers.end(), [&](const auto &One) {
                return One.m_Name == Former.m_Name && One.m_PerSecond > 0;
              }))
        m_Rates.clearRate(Former.m_Name);
  for (const CatalogCustomer &Customer : Catalog->catalog().m_Customers)
    if (Customer.m_PerSecond > 0)
      m_Rates.setRate(Customer.m_Name,
                      {.m_PerSecond = Customer.m_PerSecond,
                       .m_Burst = std::max(1.0, Customer.m_Burst)},
                      Now);
  m_Door.setCatalog(Catalog);
  m_Catalog = std::move(Catalog);
  m_Wheels.clear();
}

void EntryPath::onRequest(http::ExchangeId Id, http::ParsedMessage Message,
                          const std::string &From, absl::Time Now) {
  ++m_Counts.m_Requests;
  Pending Next;
  Next.m_Exchange = Id;
  Next.m_Message = std::move(Message);
  Next.m_Catalog = m_Catalog;
  Next.m_Received = Now;
  Ending Refused = identify(Next, From, Now);
  if (Refused.m_Reason != RefusalReason::None) {
    refuse(Id, Next, Refused, Now);
    return;
  }
  Next.m_Service = partOf(*Next.m_Route);
  if (!Next.m_IsCall && !passesDoor(Next, Now)) {
    if (Next.m_HasToken)
      m_Rates.putBack(Next.m_Customer->m_Name, Now);
    refuse(Id, Next, {RefusalReason::Overloaded, DoorComeBack}, Now);
    return;
  }
  Service &Of = serviceOf(Next.m_Service, Now);
  Of.m_Repeats.deposit();
  if (Next.m_IsCall) {
    ++m_Counts.m_Calls;
    std::string From = m_Options.m_Hooks.m_RouteRunningUntil(Next.m_Deadline);
    if (!From.empty())
      m_Calls.onCall(From, Next.m_Route->m_Name);
  }
  PendingId Number = ++m_LastId;
  absl::Time End = Next.m_End;
  m_ByExchange.emplace(Id, Number);
  Pending &Held = m_Pending.emplace(Number, std::move(Next)).first->second;
  setAlarm(Number, Held, End + m_Options.m_EndGrace);
  dispatch(Number, Now);
}

EntryPath::Ending EntryPath::identify(Pending &Next, const std::string &From,
                                      absl::Time Now) {
  const http::HeaderList &Headers = Next.m_Message.m_Headers;
  if (const std::string *CallId =
          http::findHeader(Headers, m_Options.m_Dialect.m_CallId))
    Next.m_CallId = *CallId;
  if (!m_Catalog)
    return {RefusalReason::StateStale};
  const std::string *Host = http::findHeader(Headers, "Host");
  if (Host)
    Next.m_Route = m_Catalog->findRoute(*Host, Next.m_Message.m_Path);
  if (!Next.m_Route)
    return {RefusalReason::UnknownRoute};
  Ending Refused = identifyCustomer(Next);
  if (Refused.m_Reason != RefusalReason::None)
    return Refused;
  Next.m_IsCall = !Next.m_Customer && From == m_Options.m_SelfAddress;
  Next.m_Rank =
      Next.m_IsCall ? CallRank : rankOf(*Next.m_Route, Next.m_Customer);
  setTimes(Next, Now);
  if (Now >= m_StopsAt && !Next.m_IsCall)
    return {RefusalReason::Stopping};
  if (Next.m_CallId.empty())
    return {RefusalReason::BadRequest};
  if (Now >= Next.m_End)
    return {RefusalReason::DeadlinePassed};
  if (Next.m_Customer) {
    if (!m_Rates.tryTake(Next.m_Customer->m_Name, Now))
      return {RefusalReason::OverRate,
              m_Rates.waitFor(Next.m_Customer->m_Name, Now)};
    Next.m_HasToken = true;
  }
  return {};
}

EntryPath::Ending EntryPath::identifyCustomer(Pending &Next) const {
  if (Next.m_Route->m_IsOpen || !m_Catalog->hasCustomers())
    return {};
  const std::string *Shown =
      http::findHeader(Next.m_Message.m_Headers, m_Options.m_Dialect.m_Key);
  const std::string &Scheme = m_Options.m_Dialect.m_KeyScheme;
  if (!Shown || !Shown->starts_with(Scheme))
    return {RefusalReason::BadKey};
  Next.m_Customer =
      m_Catalog->customerOf(std::string_view(*Shown).substr(Scheme.size()));
  if (!Next.m_Customer)
    return {RefusalReason::BadKey};
  return {};
}

void EntryPath::setTimes(Pending &Next, absl::Time Now) const {
  absl::Duration Left = Next.m_Route->m_Timeout;
  auto Told = wholeNumber(http::findHeader(Next.m_Message.m_Headers,
                                           m_Options.m_Dialect.m_TimeLeft));
  Next.m_Deadline = Now + (Told ? absl::Milliseconds(*Told) : Left);
  Next.m_End = std::min(Next.m_Deadline, Now + Left);
}

std::string EntryPath::partOf(const CatalogRoute &Route) {
  if (Route.m_Parts.size() == 1)
    return Route.m_Parts.front().m_Service;
  auto Found = m_Wheels.find(Route.m_Name);
  if (Found == m_Wheels.end()) {
    std::vector<double> Weights;
    for (const RoutePart &Part : Route.m_Parts)
      Weights.push_back(Part.m_Weight);
    policy::SplitWheel Wheel(Weights, absl::Uniform(m_Random, 0.0, 0.5));
    Found = m_Wheels.emplace(Route.m_Name, std::move(Wheel)).first;
  }
  return Route.m_Parts[Found->second.next()].m_Service;
}

EntryPath::Service &EntryPath::serviceOf(const std::string &Name,
                                         absl::Time Now) {
  auto Found = m_Services.find(Name);
  if (Found == m_Services.end()) {
    Service Fresh{.m_Chooser = policy::TargetChooser(
                      {.m_Region = m_Options.m_Self.m_Region,
                       .m_DataCenter = m_Options.m_Self.m_DataCenter,
                       .m_Seed = m_Options.m_Self.m_Incarnation,
                       .m_SpillPressure = SpillPressure,
                       .m_TierPenalty = TierPenalty,
                       .m_UseRelativeFailures = true}),
                  .m_Repeats = policy::RetryBudget(m_Options.m_Repeats)};
    Found = m_Services.emplace(Name, std::move(Fresh)).first;
  }
  refreshTargets(Name, Found->second, Now);
  return Found->second;
}

void EntryPath::refreshTargets(const std::string &Name, Service &Of,
                               absl::Time Now) {
  if (Of.m_TargetsVersion == m_TargetsVersion)
    return;
  Of.m_TargetsVersion = m_TargetsVersion;
  Of.m_Targets.clear();
  std::vector<policy::TargetInfo> Infos;
  for (PeerTarget &Target : m_Options.m_Hooks.m_TargetsOf(Name)) {
    Infos.push_back({.m_Incarnation = Target.m_Member.m_Incarnation,
                     .m_Name = Target.m_Member.m_Name,
                     .m_Region = Target.m_Member.m_Region,
                     .m_DataCenter = Target.m_Member.m_DataCenter,
                     .m_IsWithdrawn = !Target.m_IsOpen});
    Of.m_Targets.emplace(Target.m_Member.m_Incarnation, std::move(Target));
  }
  Of.m_Chooser.setTargets(Infos, Now);
}

void EntryPath::onLoad(const std::string &Name, model::Incarnation Daemon,
                       const wire::Load &Load, absl::Time Now) {
  m_Door.onLoad(Name, Daemon, Load.shed_level(), Load.limit(), Now);
  auto Found = m_Services.find(Name);
  if (Found == m_Services.end())
    return;
  if (auto Target = Found->second.m_Chooser.find(Daemon))
    Found->second.m_Chooser.onLoad(*Target, app::fromWire(Load), Now);
}

bool EntryPath::passesDoor(const Pending &Next, absl::Time Now) {
  return m_Door.pass({.m_Route = Next.m_Route,
                      .m_Service = &Next.m_Service,
                      .m_Rank = Next.m_Rank,
                      .m_Given = Next.m_Deadline - Next.m_Received},
                     Now, m_Random);
}

void EntryPath::onTargetsChanged() {
  ++m_TargetsVersion;
  m_Door.onTargetsChanged();
}

void EntryPath::dispatch(PendingId Id, absl::Time Now) {
  Pending &Next = m_Pending.at(Id);
  Service &Of = serviceOf(Next.m_Service, Now);
  while (true) {
    auto Target =
        Of.m_Chooser.choose({.m_Excluded = Next.m_Excluded}, m_Random, Now);
    if (!Target)
      break;
    if (forward(Id, Next, Of, *Target, Now))
      return;
    Next.m_Excluded.push_back(*Target);
  }
  RefusalReason Reason =
      Next.m_Refusals > 0 ? RefusalReason::Overloaded : RefusalReason::NoTarget;
  end(Id, {Next.m_MayHaveRun ? RefusalReason::OutcomeUnknown : Reason}, Now);
}

bool EntryPath::forward(PendingId Id, Pending &Next, Service &Of,
                        policy::TargetHandle Target, absl::Time Now) {
  model::Incarnation Daemon = Of.m_Chooser.info(Target).m_Incarnation;
  auto Found = Of.m_Targets.find(Daemon);
  if (Found == Of.m_Targets.end())
    return false;
  std::uint64_t Sequence = m_LastSequence + 1;
  wire::ForwardT Message = makeForward(Next, Found->second, Now);
  Message.id = {m_Options.m_Self.m_Incarnation, Sequence};
  if (!m_Options.m_Hooks.m_Forward(Found->second.m_Member, std::move(Message)))
    return false;
  m_LastSequence = Sequence;
  Next.m_Sequence = Sequence;
  Next.m_Target = Target;
  Next.m_To = Found->second.m_Member;
  Next.m_IsSent = true;
  Next.m_Sent = Now;
  m_BySequence.emplace(Sequence, Id);
  Of.m_Chooser.onSent(Target, Now);
  return true;
}

std::string EntryPath::linesFor(const Pending &Next) const {
  const Dialect &Names = m_Options.m_Dialect;
  std::string Lines;
  auto Append = [&Lines](std::string_view Name, std::string_view Value) {
    fmt::format_to(std::back_inserter(Lines), "{}: {}\r\n", Name, Value);
  };
  for (const http::HeaderField &Field : Next.m_Message.m_Headers) {
    bool IsOwn = false;
    for (const std::string *Set :
         {&Names.m_Key, &Names.m_Customer, &Names.m_CallerService,
          &Names.m_TimeLeft, &Names.m_Instance})
      IsOwn = IsOwn || http::isSameName(Field.m_Name, *Set);
    if (!IsOwn && !http::isHopByHop(Field.m_Name))
      Append(Field.m_Name, Field.m_Value);
  }
  Append(Names.m_CallerService, m_Options.m_Self.m_Service);
  if (Next.m_Customer)
    Append(Names.m_Customer, Next.m_Customer->m_Name);
  return Lines;
}

wire::ForwardT EntryPath::makeForward(const Pending &Next, const PeerTarget &To,
                                      absl::Time Now) const {
  wire::ForwardT Message;
  Message.to_incarnation = To.m_Member.m_Incarnation;
  Message.method = Next.m_Message.m_Method;
  Message.path = Next.m_Message.m_Path;
  Message.lines = linesFor(Next);
  Message.body = app::toBytes(Next.m_Message.m_Body);
  Message.route = Next.m_Route->m_Name;
  Message.service = Next.m_Service;
  if (Next.m_Customer)
    Message.customer = Next.m_Customer->m_Name;
  Message.is_idempotent = Next.m_Route->m_IsIdempotent;
  Message.remaining_us = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, absl::ToInt64Microseconds(Next.m_End - Now)));
  absl::Duration Aim = Next.m_Received + Next.m_Route->m_Aim - Now;
  Message.aim_us = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, absl::ToInt64Microseconds(Aim)));
  Message.call_id = Next.m_CallId;
  Message.rank = Next.m_Rank;
  Message.instance = To.m_Instance;
  Message.refusals = static_cast<std::uint16_t>(Next.m_Refusals);
  return Message;
}

void EntryPath::onGone(http::ExchangeId Exchange, absl::Time Now) {
  auto Found = m_ByExchange.find(Exchange);
  if (Found == m_ByExchange.end())
    return;
  PendingId Id = Found->second;
  Pending &Held = m_Pending.at(Id);
  ++m_Counts.m_Gone;
  if (Held.m_IsSent) {
    wire::CancelT Cancel;
    Cancel.id = {m_Options.m_Self.m_Incarnation, Held.m_Sequence};
    m_Options.m_Hooks.m_Cancel(Held.m_To, Cancel);
    serviceOf(Held.m_Service, Now).m_Chooser.onCancelled(Held.m_Target);
  }
  m_Log.routine("The caller left.", {{"id", Held.m_CallId},
                                     {"sent", Held.m_IsSent},
                                     {"held", Now - Held.m_Received}});
  forget(Id);
}

void EntryPath::onDaemonLost(model::Incarnation Daemon, absl::Time Now) {
  std::vector<PendingId> Lost;
  for (const auto &[Id, Held] : m_Pending)
    if (Held.m_IsSent && Held.m_To.m_Incarnation == Daemon)
      Lost.push_back(Id);
  for (PendingId Id : Lost) {
    Pending &Held = m_Pending.at(Id);
    m_BySequence.erase(Held.m_Sequence);
    Held.m_IsSent = false;
    Held.m_MayHaveRun = true;
    ++Held.m_Arrivals;
    serviceOf(Held.m_Service, Now).m_Chooser.onLost(Held.m_Target, Now);
    onTargetFailure(Id, nullptr, Now);
  }
}

void EntryPath::setAlarm(PendingId Id, Pending &Held, absl::Time When) {
  Held.m_Alarm = When;
  m_Alarms.emplace(When, Id);
}

void EntryPath::tick(absl::Time Now) {
  while (!m_Alarms.empty() && m_Alarms.begin()->first <= Now)
    onAlarm(m_Alarms.begin()->second, Now);
}

void EntryPath::onAlarm(PendingId Id, absl::Time Now) {
  Pending &Held = m_Pending.at(Id);
  if (Held.m_IsSent) {
    Held.m_MayHaveRun = true;
    wire::CancelT Cancel;
    Cancel.id = {m_Options.m_Self.m_Incarnation, Held.m_Sequence};
    m_Options.m_Hooks.m_Cancel(Held.m_To, Cancel);
    serviceOf(Held.m_Service, Now).m_Chooser.onLost(Held.m_Target, Now);
  }
  end(Id, {RefusalReason::DeadlinePassed}, Now);
}

void EntryPath::forget(PendingId Id) {
  auto Found = m_Pending.find(Id);
  Pending &Done = Found->second;
  m_ByExchange.erase(Done.m_Exchange);
  if (Done.m_IsSent)
    m_BySequence.erase(Done.m_Sequence);
  m_Alarms.erase({Done.m_Alarm, Id});
  m_Pending.erase(Found);
}

} // namespace knapweedloft::mesh
